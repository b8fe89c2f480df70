package commands

import (
	"github.com/pkg/errors"

	"gorseline/io/operator"
)

type experimentStopCommand struct {
	changeSettings
	Adopt string `long:"adopt" env:"EXPERIMENT_ADOPT" description:"Policy that becomes the preset's own one; empty keeps the current one"`
}

func init() {
	registerTerminal[experimentStopCommand]("experiment stop", "End the experiment of the preset in force",
		"Assigns all callers to the preset's own policy, or to the adopted one. Requests in flight finish under their policy.")
}

// Execute proposes the preset in force without shares.
func (c *experimentStopCommand) Execute([]string) error {
	return c.change(func(sess session) (operator.ChangeRequest, error) {
		preset := sess.configuration.Preset()
		if len(preset.Experiment) == 0 {
			return operator.ChangeRequest{}, exitError{errors.Errorf("no experiment runs in preset %s; nothing was changed\n"+
				"next: \"gorseline timeline --kind ExperimentHarmful --fleet\" tells whether its harm limit ended it",
				sess.configuration.PresetInForce), exitInvalid}
		}
		preset.Experiment = nil
		if c.Adopt != "" {
			preset.Policy = c.Adopt
		}
		return operator.ChangeRequest{PutPreset: &preset}, nil
	})
}
