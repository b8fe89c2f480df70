package commands

import (
	"context"
	"maps"
	"slices"
	"strings"

	"gorseline/core"
	"gorseline/core/policy"
)

type policyListCommand struct {
	operatorSettings
	Types bool `long:"types" description:"List the policy types of this build instead, without a server"`
}

func init() {
	registerTerminal[policyListCommand]("policy list", "List the policies",
		"Lists the policies, their types and the presets that use them.")
}

// policyRow is the JSON output of one policy.
type policyRow struct {
	core.PolicyDocument
	UsedBy []string
}

// Execute prints the policies by name.
func (c *policyListCommand) Execute([]string) error {
	if c.Types {
		types := policy.Types()
		return c.print(types, func() { c.printf("%s\n", strings.Join(types, "\n")) })
	}
	return c.call(func(_ context.Context, sess session) error {
		var list []policyRow
		var table [][]any
		for _, name := range slices.Sorted(maps.Keys(sess.configuration.Policies)) {
			row := policyRow{sess.configuration.Policies[name], usedBy(sess.configuration, name)}
			list = append(list, row)
			table = append(table, []any{name, row.Type, strings.Join(row.UsedBy, ",")})
		}
		return c.print(list, func() { c.rows("NAME TYPE USED-BY", table) })
	})
}

// usedBy returns the presets whose own policy or experiment uses the policy.
func usedBy(c core.Configuration, name string) []string {
	var presets []string
	for _, preset := range slices.Sorted(maps.Keys(c.Presets)) {
		p := c.Presets[preset]
		inExperiment := slices.ContainsFunc(p.Experiment, func(s core.PolicyShare) bool { return s.Policy == name })
		if p.Policy == name || inExperiment {
			presets = append(presets, preset)
		}
	}
	return presets
}
