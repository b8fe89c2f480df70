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
		"Puts a preset in force. Requests in flight finish under the revision that they were admitted with.")
}

// Execute proposes the switch.
func (c *presetSwitchCommand) Execute([]string) error {
	return c.change(func(sess session) (operator.ChangeRequest, error) {
		if _, ok := sess.configuration.Presets[c.Arguments.Name]; !ok {
			return operator.ChangeRequest{}, unknownNameError("PresetInForce", c.Arguments.Name, slices.Sorted(maps.Keys(sess.configuration.Presets)))
		}
		return operator.ChangeRequest{SwitchPreset: c.Arguments.Name}, nil
	})
}
