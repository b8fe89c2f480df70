package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"gorseline/standin/fleet"
)

// designSize is the number of instances that the measurements are extrapolated to.
const designSize = 680

// maxInstances limits the memory of a run: at the design size an instance keeps about 5 MB of
// configuration, and all instances run in this process.
const maxInstances = 1000

type slopesCommand struct {
	Instances     intList       `long:"instances" env:"SLOPES_INSTANCES" default:"9,60,240" description:"fleet sizes, separated by commas"`
	DataCentres   int           `long:"data-centres" env:"SLOPES_DATA_CENTRES" default:"6" description:"data centres of fleets with 60 instances or more; smaller fleets have 3"`
	Window        time.Duration `long:"window" env:"SLOPES_WINDOW" default:"120s" description:"virtual time over which the cost is measured"`
	Targets       int           `long:"targets" env:"SLOPES_TARGETS" default:"4500" description:"targets in the configuration"`
	Organisations int           `long:"organisations" env:"SLOPES_ORGANISATIONS" default:"2800" description:"organisations in the configuration"`
	Seed          uint64        `long:"seed" env:"SLOPES_SEED" default:"1" description:"seed of all random choices"`
	Format        string        `long:"format" env:"SLOPES_FORMAT" default:"table" choice:"table" choice:"json" description:"format of the report"`
}

// intList holds fleet sizes, parsed from one argument.
type intList []int

// UnmarshalFlag parses numbers separated by commas.
func (l *intList) UnmarshalFlag(value string) error {
	*l = nil
	for _, part := range strings.Split(value, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 3 || n > maxInstances {
			return fmt.Errorf("invalid number of instances %q, accepted: 3 to %d", part, maxInstances)
		}
		*l = append(*l, n)
	}
	return nil
}

func init() {
	register[slopesCommand]("slopes", "Measure the cost of the control plane",
		"Runs the control plane of fleets of several sizes in virtual time and extrapolates its cost to 680 instances.")
}

// slopesReport is the JSON output of the measurements.
type slopesReport struct {
	Overhead     fleet.Overhead
	Measurements []fleet.Measurement
	Lines        []slope
}

// slope is a line fitted to one figure over the number of instances.
type slope struct {
	Name   string
	Unit   string
	Values []float64
	fleet.Line
	AtDesignSize float64
	// Target is the upper bound at the design size, or 0 without one.
	Target float64 `json:",omitempty"`
}

// Execute measures the fleets and prints the report.
func (c *slopesCommand) Execute([]string) error {
	overhead, err := fleet.MeasureOverhead(context.Background())
	if err != nil {
		return failure{err}
	}
	report := slopesReport{Overhead: overhead}
	for _, n := range c.Instances {
		centres := c.DataCentres
		if n < 60 {
			centres = 3
		}
		figures, err := fleet.Measure(fleet.MeasureOptions{
			Instances: n, DataCentres: centres, Seed: c.Seed, Warmup: 40 * time.Second, Window: c.Window,
			Targets: c.Targets, Organisations: c.Organisations, Overhead: overhead,
		})
		if err != nil {
			return failure{err}
		}
		report.Measurements = append(report.Measurements, figures)
	}
	report.Lines = slopes(report.Measurements)
	if c.Format == "json" {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	return report.print(os.Stdout)
}

// slopes fits a line to each figure.
func slopes(list []fleet.Measurement) []slope {
	lines := []slope{
		{Name: "table reads", Unit: "rows/s", Target: 1000},
		{Name: "table writes", Unit: "rows/s", Target: 200},
		{Name: "traffic per instance", Unit: "B/s", Target: 3000},
		{Name: "traffic of the busiest", Unit: "B/s", Target: 3000},
		{Name: "IP and TCP headers", Unit: "B/s"},
		{Name: "the same, most", Unit: "B/s"},
		{Name: "calls made", Unit: "1/s"},
		{Name: "processor per instance", Unit: "% core", Target: 1.1},
		{Name: "of which HTTP calls", Unit: "% core"},
		{Name: "live heap per instance", Unit: "MB", Target: 64},
		{Name: "of which connections", Unit: "MB"},
		{Name: "in force, normal", Unit: "s"},
		{Name: "in force, centre lost", Unit: "s", Target: 9},
	}
	fitted := withMostCentres(list)
	for i := range lines {
		value := func(f fleet.Measurement) float64 { return values(f)[i] }
		for _, f := range list {
			lines[i].Values = append(lines[i].Values, value(f))
		}
		lines[i].Line = fleet.Fit(fitted, value)
		lines[i].AtDesignSize = lines[i].At(designSize)
	}
	return lines
}

// withMostCentres returns the measurements of the fleets with the most data centres. A line
// through fleets with different numbers of data centres would mix two effects.
func withMostCentres(list []fleet.Measurement) []fleet.Measurement {
	most := 0
	for _, f := range list {
		most = max(most, f.DataCentres)
	}
	return slices.DeleteFunc(slices.Clone(list), func(f fleet.Measurement) bool { return f.DataCentres < most })
}

// values returns the figures in the order of slopes.
func values(f fleet.Measurement) []float64 {
	return []float64{
		f.TableReads, f.TableWrites, f.Bytes, f.BusiestBytes, f.PacketBytes, f.BusiestPacketBytes, f.Calls,
		f.Core * 100, f.HTTPCore * 100, f.Memory / 1e6, f.ConnectionMemory / 1e6, f.InForce, f.InForceLost,
	}
}

func (r slopesReport) print(out io.Writer) error {
	o := r.Overhead
	fmt.Fprintf(out, "loopback: %.0f B per call above its bodies, %.0f B per new connection, %v per call, %.0f kB per connection; head read %.0f B, %v\n\n",
		o.CallBytes, o.ConnectBytes, o.CallTime, o.ConnectionBytes/1e3, o.HeadBytes, o.HeadTime)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "figure\tunit\t")
	for _, f := range r.Measurements {
		fmt.Fprintf(w, "%d\t", f.Instances)
	}
	fmt.Fprintf(w, "per instance\tat %d\ttarget\t\n", designSize)
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%s\t%s\t", l.Name, l.Unit)
		for _, v := range l.Values {
			fmt.Fprintf(w, "%.3g\t", v)
		}
		target := "-"
		if l.Target > 0 {
			target = fmt.Sprint(l.Target)
		}
		fmt.Fprintf(w, "%.3g\t%.3g\t%s\t\n", l.Slope, l.AtDesignSize, target)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	for _, f := range r.Measurements {
		fmt.Fprintf(out, "%d instances in %d data centres: %d changes, %d not in force in 9 s, %d reverts; a restart takes %.2f s and %.2f MB, a cold start %.0f s\n",
			f.Instances, f.DataCentres, f.Changes, f.Late, f.Reverts, f.JoinTime, f.JoinBytes/1e6, f.ColdStart)
	}
	return nil
}
