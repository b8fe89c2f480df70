package commands

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"gorseline/platform/bench"
)

type daysCommand struct {
	terminal   terminal
	Bench      string   `long:"bench" description:"Path of the bench" required:"true"`
	Deployment string   `long:"deployment" description:"File of the deployment" required:"true"`
	Days       []string `long:"day" description:"Day to play; repeatable" required:"true"`
	Seeds      int      `long:"seeds" description:"Seeds per day, counted from 1" default:"4"`
	Checkouts  []string `long:"checkout" description:"Directory of a checked-out version, as NAME=DIR; the others are compared with the first" required:"true"`
	Jobs       int      `long:"jobs" description:"Days that are played in parallel" default:"3"`
	Processor  bool     `long:"processor" description:"Charge the processor time of the instances"`
	Note       string   `long:"note" description:"Reason for the run, for the journal"`
}

func init() {
	registerTerminal[daysCommand]("days", "Compare versions of gorseline on days of the operators' bench",
		"Plays days with several seeds on each checked-out version, and prints mean and spread, the parts of the worth, and whether "+
			"a difference to the first version exceeds the noise of the seeds.")
}

func (c *daysCommand) setTerminal(t terminal) { c.terminal = t }

// checkout is a version of this repository.
type checkout struct{ name, dir string }

// played is one day with its result.
type played struct {
	version, day string
	seed         int
	result       bench.Result
	err          error
}

// Execute plays the days and prints the tables.
func (c *daysCommand) Execute([]string) error {
	if c.Seeds < 1 || c.Seeds > 1000 || c.Jobs < 1 || c.Jobs > 64 {
		return invalidSetting("--seeds, --jobs", fmt.Sprint(c.Seeds, ", ", c.Jobs), "1 to 1000, 1 to 64")
	}
	versions, err := parseCheckouts(c.Checkouts)
	if err != nil {
		return err
	}
	b, err := bench.New(bench.Options{Binary: c.Bench, Deployment: c.Deployment, ChargeProcessor: c.Processor, Note: c.Note})
	if err != nil {
		return failure{err}
	}
	ctx, stop := untilInterrupted()
	defer stop()
	for _, v := range versions {
		if err := b.Build(ctx, v.dir); err != nil {
			return failure{errors.Wrap(err, v.name)}
		}
	}
	results := c.play(ctx, b, versions)
	c.printVersions(results, versions)
	if len(versions) > 1 {
		c.printDifferences(results, versions)
	}
	return c.printProblems(results)
}

func parseCheckouts(texts []string) ([]checkout, error) {
	versions := make([]checkout, 0, len(texts))
	for _, text := range texts {
		name, dir, ok := strings.Cut(text, "=")
		if !ok || name == "" || dir == "" {
			return nil, invalidSetting("--checkout", text, "NAME=DIR")
		}
		versions = append(versions, checkout{name, dir})
	}
	return versions, nil
}

// play plays each day with each seed on each version, in an order that spreads a change of
// the machine's speed over all versions.
func (c *daysCommand) play(ctx context.Context, b *bench.Bench, versions []checkout) []played {
	var all []played
	for seed := 1; seed <= c.Seeds; seed++ {
		for _, day := range c.Days {
			for _, v := range versions {
				all = append(all, played{version: v.name, day: day, seed: seed})
			}
		}
	}
	var calls sync.WaitGroup
	slots := make(chan struct{}, c.Jobs)
	for i := range all {
		slots <- struct{}{}
		dir := versions[i%len(versions)].dir
		calls.Go(func() {
			defer func() { <-slots }()
			all[i].result, all[i].err = b.Play(ctx, dir, all[i].day, all[i].seed)
		})
	}
	calls.Wait()
	return all
}

// worths returns the worths of a version by day and seed; without a day, the means over the
// days of each seed. Seeds with a day that could not be played are left out.
func worths(results []played, version, day string) map[int]float64 {
	sums, counts, incomplete := map[int]float64{}, map[int]int{}, map[int]bool{}
	for _, p := range results {
		if p.version != version || day != "" && p.day != day {
			continue
		}
		incomplete[p.seed] = incomplete[p.seed] || p.err != nil
		sums[p.seed] += p.result.Worth
		counts[p.seed]++
	}
	means := map[int]float64{}
	for seed, sum := range sums {
		if !incomplete[seed] {
			means[seed] = sum / float64(counts[seed])
		}
	}
	return means
}

func (c *daysCommand) printVersions(results []played, versions []checkout) {
	out := c.terminal.out
	fmt.Fprintln(out, "day\tversion\tworth\tspread\twhole day\tworst windows\tworst kind\tworst data centre\tprices\trefused\tfailed\tkinds")
	for _, day := range append(slices.Clone(c.Days), "") {
		for _, v := range versions {
			values := mapValues(worths(results, v.name, day))
			mean, spread := stat.MeanStdDev(values, nil)
			fmt.Fprintf(out, "%s\t%s\t%.3f\t%.3f\t%s\n", cmp.Or(day, "all"), v.name, mean, spread, meanParts(results, v.name, day))
		}
	}
}

// meanParts formats the means of the parts of the worth.
func meanParts(results []played, version, day string) string {
	var sum [7]float64
	kinds, names := map[string]float64{}, []string{}
	n := 0.0
	for _, p := range results {
		if p.version != version || day != "" && p.day != day || p.err != nil {
			continue
		}
		n++
		r := p.result
		for i, x := range [...]float64{r.WholeDay, r.WorstWindows, r.WorstKind, r.WorstDataCentre, r.Prices, r.Refused, r.Failed} {
			sum[i] += x
		}
		for _, k := range r.Kinds {
			if _, known := kinds[k.Name]; !known {
				names = append(names, k.Name)
			}
			kinds[k.Name] += k.Worth
		}
	}
	var b strings.Builder
	for _, x := range sum {
		fmt.Fprintf(&b, "%.3f\t", x/n)
	}
	for i, name := range names {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s %.2f", name, kinds[name]/n)
	}
	return b.String()
}

func (c *daysCommand) printDifferences(results []played, versions []checkout) {
	fmt.Fprintln(c.terminal.out, "\nday\tversion\tdifference\tstandard error\tverdict")
	for _, v := range versions[1:] {
		for _, day := range append(slices.Clone(c.Days), "") {
			d := compareSeeds(worths(results, versions[0].name, day), worths(results, v.name, day))
			fmt.Fprintf(c.terminal.out, "%s\t%s\t%+.3f\t%.3f\t%s\n", cmp.Or(day, "all"), v.name, d.mean, d.standardError, d.verdict())
		}
	}
}

// difference is the mean difference of two versions over the same seeds.
type difference struct {
	mean, standardError float64
	seeds               int
}

// compareSeeds compares two versions on the seeds that both have.
func compareSeeds(before, after map[int]float64) difference {
	var differences []float64
	for seed, x := range before {
		if y, ok := after[seed]; ok {
			differences = append(differences, y-x)
		}
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	return difference{mean, deviation / math.Sqrt(float64(len(differences))), len(differences)}
}

// confidence is the probability below which a difference of the means counts as noise.
const confidence = 0.95

// verdict reports whether the difference exceeds the noise by a paired t-test.
func (d difference) verdict() string {
	if d.seeds < 2 {
		return "unknown, one seed"
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(d.seeds - 1)}.Quantile((1 + confidence) / 2)
	switch {
	case math.Abs(d.mean) <= t*d.standardError:
		return "noise"
	case d.mean > 0:
		return "better"
	default:
		return "worse"
	}
}

// printProblems prints the days that could not be played or broke a rule. It returns an error
// if there are any.
func (c *daysCommand) printProblems(results []played) error {
	problems := 0
	for _, p := range results {
		problem := ""
		switch {
		case p.err != nil:
			problem = p.err.Error()
		case p.result.Fault != "":
			problem = p.result.Fault
		case len(p.result.Violations) > 0:
			problem = "broken rules: " + strings.Join(p.result.Violations, ", ")
		default:
			continue
		}
		problems++
		fmt.Fprintf(c.terminal.out, "%s, day %s, seed %d: %s\n", p.version, p.day, p.seed, problem)
	}
	if problems > 0 {
		return failure{errors.Errorf("%d of %d days failed or broke a rule", problems, len(results))}
	}
	return nil
}

func mapValues(m map[int]float64) []float64 {
	values := make([]float64, 0, len(m))
	for _, x := range m {
		values = append(values, x)
	}
	return values
}
