package commands

import (
	"github.com/pkg/errors"

	"gorseline/io/operator"
)

type experimentStopCommand struct {
	changeSettings
	Adopt string `long:"adopt" env:"EXPERIMENT_ADOPT" description:"Policy that serves all callers from now on; the preset's own one stays if empty"`
}

func init() {
	registerTerminal[experimentStopCommand]("experiment stop", "End the experiment of the preset in force",
		"Gives all callers to the preset's own policy, or to the one to adopt. Requests under way finish under their policy.")
}

// Execute proposes the preset in force without shares.
func (c *experimentStopCommand) Execute([]string) error {
	return c.change(func(to session) (operator.ChangeRequest, error) {
		preset := to.configuration.Preset()
		if len(preset.Experiment) == 0 {
			return operator.ChangeRequest{}, exit{errors.Errorf("no experiment runs in preset %s; nothing was changed\n"+
				"next: \"gorseline timeline --kind ExperimentHarmful --fleet\" tells whether its harm limit ended it",
				to.configuration.PresetInForce), exitInvalid}
		}
		preset.Experiment = nil
		if c.Adopt != "" {
			preset.Policy = c.Adopt
		}
		return operator.ChangeRequest{PutPreset: &preset}, nil
	})
}
