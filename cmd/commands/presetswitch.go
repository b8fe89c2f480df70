package commands

import (
	"maps"
	"slices"

	"gorseline/io/operator"
)

type presetSwitchCommand struct {
	changeSettings
	Arguments struct {
		Name string `positional-arg-name:"PRESET" description:"Name of the preset"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[presetSwitchCommand]("preset switch", "Put a preset in force",
		"Puts a preset in force. Requests under way finish under the revision that they were admitted under.")
}

// Execute proposes the switch.
func (c *presetSwitchCommand) Execute([]string) error {
	return c.change(func(to session) (operator.ChangeRequest, error) {
		if _, ok := to.configuration.Presets[c.Arguments.Name]; !ok {
			return operator.ChangeRequest{}, unknownName("PresetInForce", c.Arguments.Name, slices.Sorted(maps.Keys(to.configuration.Presets)))
		}
		return operator.ChangeRequest{SwitchPreset: c.Arguments.Name}, nil
	})
}
