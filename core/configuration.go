package core

import (
	"encoding/json"
	"time"
)

// Configuration is one accepted revision of everything that operators control.
// It is immutable; the With methods return changed copies.
type Configuration struct {
	Revision Revision
	// PresetInForce names the one preset that is in force.
	PresetInForce string
	Presets       map[string]Preset
	Policies      map[string]PolicyDocument
	Kinds         map[KindName]Kind
	// DefaultKind names the kind of model requests that state none.
	DefaultKind   KindName
	Targets       []Target
	Organisations map[Organisation]OrganisationDocument
	// Drained lists targets that receive no new work.
	Drained map[TargetID]bool
}

// Preset is a named set of operating values.
type Preset struct {
	Name        string
	Description string
	// Policy names the policy that serves callers.
	Policy string
	// RoleChangePrice is the goodput, in weight, that one role change must earn.
	RoleChangePrice float64
	// MinimumStay is the least time between two role changes of one engine.
	MinimumStay time.Duration
	// UrgentShare is the part of capacity kept for urgent kinds, from 0 to 1.
	UrgentShare float64
	// RetryBudget is the allowed number of retries per fresh request.
	RetryBudget float64
	// Experiment shares callers between policies; it is empty outside experiments.
	Experiment []PolicyShare
	// HarmLimit ends the experiment when the goodput share of one of its policies is
	// smaller than that of Policy by more than this; 0 never ends it.
	HarmLimit float64
	// ShadowPolicy names what plans role changes that are recorded and not carried
	// out: a preset, for its placement, or ShadowReactive; it may be empty.
	ShadowPolicy string
}

// ShadowReactive is the placement that follows each change of the mix at once.
const ShadowReactive = "Reactive"

// PolicyShare gives a policy a part of the callers.
type PolicyShare struct {
	Policy string
	Share  float64
}

// PolicyDocument names a policy type and its typed parameters.
type PolicyDocument struct {
	Name       string
	Type       string
	Parameters json.RawMessage `json:",omitempty"`
}

// OrganisationDocument holds the limits of one organisation.
type OrganisationDocument struct {
	// KeyDigest is the SHA-256 of the bearer key in hex; empty allows the header.
	KeyDigest string
	// MaxConcurrent bounds requests in flight per instance; 0 uses the fair share.
	MaxConcurrent int
}

// WithPresetInForce returns a copy of c with another preset in force.
func (c Configuration) WithPresetInForce(name string) Configuration {
	c.PresetInForce = name
	return c
}

// WithRevision returns a copy of c with the given revision.
func (c Configuration) WithRevision(r Revision) Configuration {
	c.Revision = r
	return c
}

// Preset returns the preset in force.
func (c Configuration) Preset() Preset { return c.Presets[c.PresetInForce] }

// ConfigurationProvider returns the configuration in force on this instance.
type ConfigurationProvider interface {
	Configuration() Configuration
}
