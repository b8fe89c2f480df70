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
	registerTerminal[policyCompareCommand]("policy compare", "Compare the policies that serve callers now",
		"Shows goodput, answers in time and refusals by policy since the experiment began, summed over the instances named with "+
			"--operators. The 95% confidence intervals treat organisations as independent, because an organisation always has one "+
			"policy; they hold for one look, not for looking until one of them fits.")
}

// comparedPolicy is a policy with its totals in JSON.
type comparedPolicy struct {
	Policy string
	// Callers is the part of the organisations that the policy is meant to serve.
	Callers float64
	dispatch.PolicyTotals
	// GoodputShare is the part of the offered weight answered in time, Half half the
	// width of its interval, which is missing without two organisations.
	GoodputShare float64
	Half         *float64 `json:",omitempty"`
	// Loss is how much smaller the share is than that of the preset's own policy.
	Loss *dispatch.Loss `json:",omitempty"`
}

// comparedPolicies is the report in JSON.
type comparedPolicies struct {
	Preset    string
	Since     core.Revision
	HarmLimit float64
	Instances []core.InstanceID
	Policies  []comparedPolicy
}

// Execute prints the comparison.
func (c *policyCompareCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, to session) error {
		report, accounts, err := c.gather(ctx, to)
		if err != nil {
			return err
		}
		preset := to.configuration.Preset()
		for _, name := range sortedKeys(accounts) {
			row := comparedPolicy{Policy: name, Callers: callersOf(preset, name), PolicyTotals: accounts[name]}
			share, half, known := row.Share()
			row.GoodputShare = share
			if known {
				row.Half = &half
			}
			if name != preset.Policy {
				if loss := row.LossAgainst(accounts[preset.Policy]); loss.Known {
					row.Loss = &loss
				}
			}
			report.Policies = append(report.Policies, row)
		}
		return c.print(report, func() { c.table(report, preset) })
	})
}

// gather sums the accounts of the instances that answer and compare since the same
// revision.
func (c *policyCompareCommand) gather(ctx context.Context, to session) (comparedPolicies, map[string]dispatch.PolicyTotals, error) {
	report := comparedPolicies{Preset: to.configuration.PresetInForce, HarmLimit: to.configuration.Preset().HarmLimit}
	accounts := map[string]dispatch.PolicyTotals{}
	seen := map[core.InstanceID]bool{}
	for _, url := range c.Operators {
		status, err := operator.NewClient(url, nil).Status(ctx)
		if err != nil {
			if url == to.url {
				return report, nil, unread(to, err)
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
		for name, a := range status.Policies {
			accounts[name] = accounts[name].Add(a)
		}
	}
	return report, accounts, nil
}

// callersOf returns the part of the organisations that a preset gives a policy.
func callersOf(preset core.Preset, name string) float64 {
	part, rest := 0.0, 1.0
	for _, share := range preset.Experiment {
		rest -= share.Share
		if share.Policy == name {
			part += share.Share
		}
	}
	if name == preset.Policy {
		part += max(0, rest)
	}
	return part
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
