package commands

import (
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/io/operator"
)

type presetCreateCommand struct {
	changeSettings
	Arguments struct {
		File flags.Filename `positional-arg-name:"FILE" description:"JSON document of the preset; - is the standard input"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[presetCreateCommand]("preset create", "Create or replace a preset",
		"Creates a preset, or replaces the one of the same name, from a JSON document. Missing fields get their defaults.")
}

// Execute proposes the preset.
func (c *presetCreateCommand) Execute([]string) error {
	preset, err := readDocument[core.Preset](&c.printing, c.Arguments.File, "Preset")
	if err != nil {
		return err
	}
	return c.change(func(session) (operator.ChangeRequest, error) {
		return operator.ChangeRequest{PutPreset: &preset}, nil
	})
}

// readDocument reads and decodes a document. Errors contain the paths of invalid fields, below
// path.
func readDocument[T any](p *printing, file flags.Filename, path string) (T, error) {
	var zero T
	data, err := p.readFile(file)
	if err != nil {
		return zero, err
	}
	document, err := configuration.Decode[T](data, path)
	var problems configuration.Problems
	if errors.As(err, &problems) {
		return zero, invalidDocumentError(problems)
	}
	return document, err
}
