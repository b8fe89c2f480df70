package commands

import (
	"context"
	"fmt"

	"gorseline/core"
	"gorseline/core/dispatch"
	"gorseline/io/operator"
)

type policyCompareCommand struct{ operatorSettings }

func init() {
	registerTerminal[policyCompareCommand]("policy compare", "Compare the policies in use",
		"Shows goodput, answers in time and refusals by policy since the experiment began, summed over the instances named with "+
			"--operators. The 95% confidence intervals treat organisations as independent, because an organisation always has one "+
			"policy. They are valid for a single evaluation, not if evaluations are repeated until a difference appears.")
}

// comparedPolicy is the JSON output of one policy.
type comparedPolicy struct {
	Policy string
	// Callers is the share of the organisations that the preset assigns to the policy.
	Callers float64
	dispatch.PolicyTotals
	// GoodputShare is the part of the offered weight that was answered in time. Half is
	// half the width of its 95% confidence interval, or nil with fewer than two organisations.
	GoodputShare float64
	Half         *float64 `json:",omitempty"`
	// Loss is the difference to the goodput share of the preset's own policy.
	Loss *dispatch.Loss `json:",omitempty"`
}

// comparedPolicies is the JSON output of the comparison.
type comparedPolicies struct {
	Preset    string
	Since     core.Revision
	HarmLimit float64
	Instances []core.InstanceID
	Policies  []comparedPolicy
}

// Execute prints the comparison.
func (c *policyCompareCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, sess session) error {
		report, totals, err := c.gather(ctx, sess)
		if err != nil {
			return err
		}
		preset := sess.configuration.Preset()
		for _, name := range sortedKeys(totals) {
			row := comparedPolicy{Policy: name, Callers: callersOf(preset, name), PolicyTotals: totals[name]}
			share, half, known := row.Share()
			row.GoodputShare = share
			if known {
				row.Half = &half
			}
			if name != preset.Policy {
				if loss := row.LossAgainst(totals[preset.Policy]); loss.Known {
					row.Loss = &loss
				}
			}
			report.Policies = append(report.Policies, row)
		}
		return c.print(report, func() { c.table(report, preset) })
	})
}

// gather sums the totals of the instances that answer. It leaves out instances whose totals
// start at another revision than those of the first one, and further URLs of an instance.
func (c *policyCompareCommand) gather(ctx context.Context, sess session) (comparedPolicies, map[string]dispatch.PolicyTotals, error) {
	report := comparedPolicies{Preset: sess.configuration.PresetInForce, HarmLimit: sess.configuration.Preset().HarmLimit}
	totals := map[string]dispatch.PolicyTotals{}
	seen := map[core.InstanceID]bool{}
	for _, url := range c.Operators {
		status, err := operator.NewClient(url, nil).Status(ctx)
		if err != nil {
			if url == sess.url {
				return report, nil, readError(sess, err)
			}
			fmt.Fprintf(c.terminal.err, "left out: %s: %s\n", url, shortError(err))
			continue
		}
		if len(seen) == 0 {
			report.Since = status.PoliciesSince
		}
		if seen[status.Instance] || status.PoliciesSince != report.Since {
			fmt.Fprintf(c.terminal.err, "left out: %s: instance %s compares since revision %d\n", url, status.Instance, status.PoliciesSince)
			continue
		}
		seen[status.Instance] = true
		report.Instances = append(report.Instances, status.Instance)
		for name, t := range status.Policies {
			totals[name] = totals[name].Add(t)
		}
	}
	return report, totals, nil
}

// callersOf returns the share of the organisations that a preset assigns to a policy.
func callersOf(preset core.Preset, name string) float64 {
	share, rest := 0.0, 1.0
	for _, s := range preset.Experiment {
		rest -= s.Share
		if s.Policy == name {
			share += s.Share
		}
	}
	if name == preset.Policy {
		share += max(0, rest)
	}
	return share
}

func (c *policyCompareCommand) table(r comparedPolicies, preset core.Preset) {
	c.printf("preset %s, requests admitted since revision %d, on %d instances\n\n", r.Preset, r.Since, len(r.Instances))
	var table [][]any
	for _, p := range r.Policies {
		interval, loss := "-", "-"
		if p.Half != nil {
			interval = fmt.Sprintf("%.3f to %.3f", max(0, p.GoodputShare-*p.Half), min(1, p.GoodputShare+*p.Half))
		}
		if p.Loss != nil {
			loss = fmt.Sprintf("%.3f ± %.3f", p.Loss.Share, p.Loss.Half)
		}
		table = append(table, []any{
			p.Policy, fmt.Sprintf("%.2f", p.Callers), p.Requests(), p.InTime, p.Done - p.InTime, p.Refused, p.Cut, p.Unknown,
			p.Organisations, fmt.Sprintf("%.3f", p.GoodputShare), interval, loss,
		})
	}
	c.rows("POLICY CALLERS REQUESTS IN-TIME LATE REFUSED CUT UNKNOWN ORGANISATIONS GOODPUT 95%-INTERVAL LOSS", table)
	if len(preset.Experiment) == 0 {
		c.printf("\nno experiment runs in this preset; start one with \"gorseline experiment start POLICY=SHARE\"\n")
		return
	}
	limit := "none"
	if r.HarmLimit > 0 {
		limit = fmt.Sprintf("a loss above %g with the whole interval ends the experiment", r.HarmLimit)
	}
	c.printf("\nreference: %s; harm limit: %s\n", preset.Policy, limit)
}
