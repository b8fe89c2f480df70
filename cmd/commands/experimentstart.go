package commands

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/operator"
)

type experimentStartCommand struct {
	changeSettings
	HarmLimit float64 `long:"harm-limit" env:"EXPERIMENT_HARM_LIMIT" description:"Loss of goodput share that ends the experiment; 0 never ends it" default:"0.05"`
	Arguments struct {
		Shares []policyShare `positional-arg-name:"POLICY=SHARE" description:"Policy and its part of the organisations, such as least-loaded=0.2" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// policyShare is a share in one argument.
type policyShare struct{ core.PolicyShare }

// UnmarshalFlag parses a policy and its share.
func (s *policyShare) UnmarshalFlag(value string) error {
	name, number, found := strings.Cut(value, "=")
	share, err := strconv.ParseFloat(number, 64)
	if !found || name == "" || err != nil || !(share > 0 && share <= 1) {
		return errors.Errorf("invalid share %q, accepted: POLICY=SHARE with a share above 0 to 1", value)
	}
	s.PolicyShare = core.PolicyShare{Policy: name, Share: share}
	return nil
}

func init() {
	registerTerminal[experimentStartCommand]("experiment start", "Give policies a part of the callers",
		"Gives policies a part of the organisations in the preset in force. An organisation always gets the same policy, on "+
			"all instances; the others stay with the preset's own policy.")
}

// Execute proposes the preset in force with the shares.
func (c *experimentStartCommand) Execute([]string) error {
	return c.change(func(to session) (operator.ChangeRequest, error) {
		preset := to.configuration.Preset()
		preset.HarmLimit = c.HarmLimit
		preset.Experiment = nil
		for _, share := range c.Arguments.Shares {
			if _, ok := to.configuration.Policies[share.Policy]; !ok {
				return operator.ChangeRequest{}, unknownName("POLICY", share.Policy, slices.Sorted(maps.Keys(to.configuration.Policies)))
			}
			preset.Experiment = append(preset.Experiment, share.PolicyShare)
		}
		return operator.ChangeRequest{PutPreset: &preset}, nil
	})
}
