package bench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gorseline/core"
)

// Summary is a mean over all seeds with the smallest and the largest value.
type Summary struct {
	Mean, Least, Greatest float64
}

// KindRow is the fate of one kind, each as a part of what arrived.
type KindRow struct {
	Kind                  core.KindName
	InTime, Refused, Late Summary
}

// Row is one policy in one scenario over all seeds.
type Row struct {
	Policy, Scenario string
	Seeds            int
	// Goodput is the weight answered in time as a part of the offered weight;
	// BoundRatio is the same as a part of the offline bound.
	Goodput, BoundRatio Summary
	// Refused and Late are parts of the arrivals.
	Refused, Late Summary
	RoleChanges   Summary
	Kinds         []KindRow
}

func newRow(name, scenario string, results []Result) Row {
	row := Row{Policy: name, Scenario: scenario, Seeds: len(results)}
	total := func(r *Result, count func(*KindResult) int) float64 {
		sum, arrived := 0, 0
		for i := range r.Kinds {
			sum += count(&r.Kinds[i])
			arrived += r.Kinds[i].Arrived
		}
		return part(sum, arrived)
	}
	row.Goodput = spread(results, func(r *Result) float64 { return r.Goodput / r.Offered })
	row.BoundRatio = spread(results, func(r *Result) float64 { return r.Goodput / r.Bound })
	row.Refused = spread(results, func(r *Result) float64 { return total(r, func(k *KindResult) int { return k.Refused }) })
	row.Late = spread(results, func(r *Result) float64 { return total(r, func(k *KindResult) int { return k.Late }) })
	row.RoleChanges = spread(results, func(r *Result) float64 { return float64(r.RoleChanges) })
	for i := range results[0].Kinds {
		of := func(count func(*KindResult) int) Summary {
			return spread(results, func(r *Result) float64 { return part(count(&r.Kinds[i]), r.Kinds[i].Arrived) })
		}
		row.Kinds = append(row.Kinds, KindRow{
			Kind:    results[0].Kinds[i].Kind,
			InTime:  of(func(k *KindResult) int { return k.InTime }),
			Refused: of(func(k *KindResult) int { return k.Refused }),
			Late:    of(func(k *KindResult) int { return k.Late }),
		})
	}
	return row
}

func part(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func spread(results []Result, value func(*Result) float64) Summary {
	s := Summary{Least: math.Inf(1), Greatest: math.Inf(-1)}
	for i := range results {
		v := value(&results[i])
		s.Mean += v / float64(len(results))
		s.Least, s.Greatest = min(s.Least, v), max(s.Greatest, v)
	}
	return s.rounded()
}

// rounded keeps six decimals, which is finer than any seed matters and free of the
// last digits of floating point sums.
func (s Summary) rounded() Summary {
	round := func(x float64) float64 { return math.Round(x*1e6) / 1e6 }
	return Summary{round(s.Mean), round(s.Least), round(s.Greatest)}
}

// String prints the mean and the range with four decimals.
func (s Summary) String() string {
	return fmt.Sprintf("%.4f [%.4f %.4f]", s.Mean, s.Least, s.Greatest)
}

// WriteTable prints the rows for people: one table of totals and one per kind.
func WriteTable(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "Policy\tScenario\tBoundRatio\tGoodput\tRefused\tLate\tRoleChanges")
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(table, "%s\t%s\t%v\t%v\t%v\t%v\t%.1f [%.0f %.0f]\n", r.Policy, r.Scenario, r.BoundRatio, r.Goodput,
			r.Refused, r.Late, r.RoleChanges.Mean, r.RoleChanges.Least, r.RoleChanges.Greatest)
	}
	fmt.Fprintln(table, "\nPolicy\tScenario\tKind\tInTime\tRefused\tLate")
	for i := range rows {
		for _, k := range rows[i].Kinds {
			fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%v\t%v\n", rows[i].Policy, rows[i].Scenario, k.Kind, k.InTime, k.Refused, k.Late)
		}
	}
	return table.Flush()
}
