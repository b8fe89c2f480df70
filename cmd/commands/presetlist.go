package commands

import (
	"context"
	"maps"
	"slices"

	"gorseline/core"
)

type presetListCommand struct{ operatorSettings }

func init() {
	registerTerminal[presetListCommand]("preset list", "List the presets", "Lists the presets and marks the one in force.")
}

// presetRow is the JSON output of one preset.
type presetRow struct {
	core.Preset
	InForce bool
}

// Execute prints the presets by name.
func (c *presetListCommand) Execute([]string) error {
	return c.call(func(_ context.Context, sess session) error {
		var list []presetRow
		var table [][]any
		for _, name := range slices.Sorted(maps.Keys(sess.configuration.Presets)) {
			p := sess.configuration.Presets[name]
			row := presetRow{p, name == sess.configuration.PresetInForce}
			list = append(list, row)
			table = append(table, []any{inForceMark(row.InForce), name, p.Policy, p.RoleChangePrice, p.MinimumStay, p.UrgentShare, p.RetryBudget, p.Description})
		}
		return c.print(list, func() {
			c.rows("IN-FORCE NAME POLICY ROLE-CHANGE-PRICE MINIMUM-STAY URGENT-SHARE RETRY-BUDGET DESCRIPTION", table)
		})
	})
}

func inForceMark(inForce bool) string {
	if inForce {
		return "*"
	}
	return ""
}
