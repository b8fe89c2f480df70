package bench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gorseline/core"
)

// Summary holds the mean, the minimum and the maximum of a value over all seeds.
type Summary struct {
	Mean, Least, Greatest float64
}

// KindRow holds the outcomes of one kind as fractions of its arrivals.
type KindRow struct {
	Kind                  core.KindName
	InTime, Refused, Late Summary
}

// Row holds the results of one policy in one scenario over all seeds.
type Row struct {
	Policy, Scenario string
	Seeds            int
	// Goodput is the weight answered in time as a fraction of the offered weight,
	// BoundRatio as a fraction of the offline bound.
	Goodput, BoundRatio Summary
	// Refused and Late are fractions of the arrivals.
	Refused, Late Summary
	RoleChanges   Summary
	Kinds         []KindRow
}

func newRow(name, scenario string, results []Result) Row {
	row := Row{Policy: name, Scenario: scenario, Seeds: len(results)}
	totalRatio := func(r *Result, count func(*KindResult) int) float64 {
		sum, arrived := 0, 0
		for i := range r.Kinds {
			sum += count(&r.Kinds[i])
			arrived += r.Kinds[i].Arrived
		}
		return ratio(sum, arrived)
	}
	row.Goodput = summarise(results, func(r *Result) float64 { return r.Goodput / r.Offered })
	row.BoundRatio = summarise(results, func(r *Result) float64 { return r.Goodput / r.Bound })
	row.Refused = summarise(results, func(r *Result) float64 { return totalRatio(r, func(k *KindResult) int { return k.Refused }) })
	row.Late = summarise(results, func(r *Result) float64 { return totalRatio(r, func(k *KindResult) int { return k.Late }) })
	row.RoleChanges = summarise(results, func(r *Result) float64 { return float64(r.RoleChanges) })
	for i := range results[0].Kinds {
		summariseKind := func(count func(*KindResult) int) Summary {
			return summarise(results, func(r *Result) float64 { return ratio(count(&r.Kinds[i]), r.Kinds[i].Arrived) })
		}
		row.Kinds = append(row.Kinds, KindRow{
			Kind:    results[0].Kinds[i].Kind,
			InTime:  summariseKind(func(k *KindResult) int { return k.InTime }),
			Refused: summariseKind(func(k *KindResult) int { return k.Refused }),
			Late:    summariseKind(func(k *KindResult) int { return k.Late }),
		})
	}
	return row
}

// ratio returns n/total, or 0 if total is 0.
func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

func summarise(results []Result, value func(*Result) float64) Summary {
	s := Summary{Least: math.Inf(1), Greatest: math.Inf(-1)}
	for i := range results {
		v := value(&results[i])
		s.Mean += v / float64(len(results))
		s.Least, s.Greatest = min(s.Least, v), max(s.Greatest, v)
	}
	return s.rounded()
}

// rounded rounds to six decimals. This removes the rounding errors of floating-point sums
// and is still finer than the differences between seeds.
func (s Summary) rounded() Summary {
	round := func(x float64) float64 { return math.Round(x*1e6) / 1e6 }
	return Summary{round(s.Mean), round(s.Least), round(s.Greatest)}
}

// String formats the mean and the range with four decimals.
func (s Summary) String() string {
	return fmt.Sprintf("%.4f [%.4f %.4f]", s.Mean, s.Least, s.Greatest)
}

// WriteTable prints the rows as two aligned text tables, one with totals and one with the
// outcomes by kind.
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
