package commands

import (
	"context"
	"maps"
	"slices"
)

type presetShowCommand struct {
	operatorSettings
	Arguments struct {
		Name string `positional-arg-name:"PRESET" description:"Name of the preset"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[presetShowCommand]("preset show", "Show a preset",
		"Prints a preset as the JSON document that preset create accepts.")
}

// Execute prints the document.
func (c *presetShowCommand) Execute([]string) error {
	return c.call(func(_ context.Context, sess session) error {
		p, ok := sess.configuration.Presets[c.Arguments.Name]
		if !ok {
			return unknownNameError("Presets", c.Arguments.Name, slices.Sorted(maps.Keys(sess.configuration.Presets)))
		}
		return c.printJSON(p)
	})
}
