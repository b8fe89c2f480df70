package core

import (
	"encoding/json"
	"time"
)

// Configuration is one accepted revision of all settings that operators control.
// It is immutable; the With methods return changed copies.
type Configuration struct {
	Revision Revision
	// PresetInForce names the active preset.
	PresetInForce string
	Presets       map[string]Preset
	Policies      map[string]PolicyDocument
	Kinds         map[KindName]Kind
	// DefaultKind names the kind of model requests that don't state one.
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
	// Policy names the policy that serves requests.
	Policy string
	// RoleChangePrice is the goodput, in weight, that one role change must gain.
	RoleChangePrice float64
	// MinimumStay is the minimum time between two role changes of one engine.
	MinimumStay time.Duration
	// UrgentShare is the fraction of capacity reserved for urgent kinds, from 0 to 1.
	UrgentShare float64
	// RetryBudget is the allowed number of retries per first attempt.
	RetryBudget float64
	// Experiment splits organisations between policies; it is empty outside experiments.
	Experiment []PolicyShare
	// HarmLimit ends the experiment when the share of offered goodput that one of its
	// policies achieves is lower than that of Policy by more than this; 0 never ends it.
	HarmLimit float64
	// ShadowPolicy names a preset, or ShadowReactive, whose placement plans role changes
	// that are recorded but not carried out. It may be empty.
	ShadowPolicy string
}

// ShadowReactive names the placement that reacts to each change of the request mix at once.
const ShadowReactive = "Reactive"

// PolicyShare assigns a fraction of the organisations, from 0 to 1, to a policy.
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
	// KeyDigest is the SHA-256 of the bearer key in hex. If it is empty, the header
	// that names the organisation is accepted without a key.
	KeyDigest string
	// MaxConcurrent limits requests in flight per instance; 0 uses the fair share.
	MaxConcurrent int
}

// WithPresetInForce returns a copy of c in which the named preset is active.
func (c Configuration) WithPresetInForce(name string) Configuration {
	c.PresetInForce = name
	return c
}

// WithRevision returns a copy of c with the given revision.
func (c Configuration) WithRevision(r Revision) Configuration {
	c.Revision = r
	return c
}

// Preset returns the active preset.
func (c Configuration) Preset() Preset { return c.Presets[c.PresetInForce] }

// ConfigurationProvider returns the active configuration of this instance.
type ConfigurationProvider interface {
	Configuration() Configuration
}
