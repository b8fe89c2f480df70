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
	HarmLimit float64 `long:"harm-limit" env:"EXPERIMENT_HARM_LIMIT" description:"Loss of goodput share that ends the experiment; 0 has no limit" default:"0.05"`
	Arguments struct {
		Shares []policyShare `positional-arg-name:"POLICY=SHARE" description:"Policy and its share of the organisations, such as least-loaded=0.2" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// policyShare is an argument of the form POLICY=SHARE.
type policyShare struct{ core.PolicyShare }

// UnmarshalFlag parses a policy and its share.
func (s *policyShare) UnmarshalFlag(value string) error {
	name, text, found := strings.Cut(value, "=")
	share, err := strconv.ParseFloat(text, 64)
	if !found || name == "" || err != nil || !(share > 0 && share <= 1) {
		return errors.Errorf("invalid share %q, accepted: POLICY=SHARE with a share above 0 to 1", value)
	}
	s.PolicyShare = core.PolicyShare{Policy: name, Share: share}
	return nil
}

func init() {
	registerTerminal[experimentStartCommand]("experiment start", "Assign shares of the callers to policies",
		"Assigns shares of the organisations to policies in the preset in force. An organisation has the same policy on all "+
			"instances and at all times; organisations outside the shares stay with the preset's own policy.")
}

// Execute proposes the preset in force with the shares.
func (c *experimentStartCommand) Execute([]string) error {
	return c.change(func(sess session) (operator.ChangeRequest, error) {
		preset := sess.configuration.Preset()
		preset.HarmLimit = c.HarmLimit
		preset.Experiment = nil
		for _, share := range c.Arguments.Shares {
			if _, ok := sess.configuration.Policies[share.Policy]; !ok {
				return operator.ChangeRequest{}, unknownNameError("POLICY", share.Policy, slices.Sorted(maps.Keys(sess.configuration.Policies)))
			}
			preset.Experiment = append(preset.Experiment, share.PolicyShare)
		}
		return operator.ChangeRequest{PutPreset: &preset}, nil
	})
}
