package fleet

import (
	"fmt"
	"time"

	"gorseline/core"
)

// SampleConfiguration returns a valid configuration with two presets and the given
// numbers of targets and organisations. A fleet of the design size has 4,500 targets and
// 2,800 organisations.
func SampleConfiguration(targets, organisations int) core.Configuration {
	c := core.Configuration{
		PresetInForce: "Ordinary",
		Presets: map[string]core.Preset{
			"Ordinary": samplePreset("Ordinary", 0.1),
			"Peak":     samplePreset("Peak", 0.3),
		},
		Policies:      map[string]core.PolicyDocument{"Full": {Name: "Full", Type: "Full"}},
		Kinds:         map[core.KindName]core.Kind{},
		Organisations: map[core.Organisation]core.OrganisationDocument{},
	}
	for _, name := range []core.KindName{"ClerkQuery", "DossierReview"} {
		c.Kinds[name] = core.Kind{Name: name, Weight: 1, Deadline: time.Minute, Repeatable: true}
	}
	for n := range targets {
		c.Targets = append(c.Targets, core.Target{
			ID: core.TargetID(fmt.Sprintf("engine-%04d", n)), Service: "llm", Role: core.RoleMixed,
			Address: fmt.Sprintf("10.128.%d.%d:8000", n/250, n%250), DataCentre: "dc0", Models: []core.Model{"m1", "m2"},
		})
	}
	for n := range organisations {
		c.Organisations[core.Organisation(fmt.Sprintf("organisation-%04d", n))] = core.OrganisationDocument{
			KeyDigest: fmt.Sprintf("%064x", n+1), MaxConcurrent: 8,
		}
	}
	return c
}

func samplePreset(name string, urgentShare float64) core.Preset {
	return core.Preset{
		Name: name, Policy: "Full", RoleChangePrice: 1, MinimumStay: time.Minute, UrgentShare: urgentShare, RetryBudget: 0.1,
	}
}
