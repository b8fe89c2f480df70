package configuration

import (
	"context"
	"fmt"
	"maps"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Operation is a change to the configuration that an operator requests.
type Operation interface {
	// String describes the change in the history.
	String() string
	operation()
}

// edit is an operation whose result depends only on the newest configuration.
type edit interface {
	applyTo(c core.Configuration) core.Configuration
}

// operationMarker restricts Operation to the types of this package.
type operationMarker struct{}

func (operationMarker) operation() {}

// apply returns the configuration after an operation.
func (s *Store) apply(ctx context.Context, o Operation, c core.Configuration) (core.Configuration, error) {
	switch o := o.(type) {
	case edit:
		return o.applyTo(c), nil
	case Restore:
		old, err := s.rewind(ctx, c, o.Revision)
		return old.WithRevision(c.Revision), err
	}
	return core.Configuration{}, errors.Errorf("unsupported operation %T", o)
}

// SwitchPreset puts another preset in force.
type SwitchPreset struct {
	operationMarker
	Name string
}

// String describes the change.
func (o SwitchPreset) String() string { return "switch to preset " + o.Name }

func (o SwitchPreset) applyTo(c core.Configuration) core.Configuration {
	return c.WithPresetInForce(o.Name)
}

// PutPreset creates or replaces a preset.
type PutPreset struct {
	operationMarker
	Preset core.Preset
}

// String describes the change.
func (o PutPreset) String() string { return "put preset " + o.Preset.Name }

func (o PutPreset) applyTo(c core.Configuration) core.Configuration {
	c.Presets = cloneOrMake(c.Presets)
	c.Presets[o.Preset.Name] = o.Preset
	return c
}

// PutPolicy creates or replaces a policy.
type PutPolicy struct {
	operationMarker
	Policy core.PolicyDocument
}

// String describes the change.
func (o PutPolicy) String() string { return "put policy " + o.Policy.Name }

func (o PutPolicy) applyTo(c core.Configuration) core.Configuration {
	c.Policies = cloneOrMake(c.Policies)
	c.Policies[o.Policy.Name] = o.Policy
	return c
}

// DrainTarget stops new work to a target, or allows it again.
type DrainTarget struct {
	operationMarker
	Target  core.TargetID
	Undrain bool
}

// String describes the change.
func (o DrainTarget) String() string {
	if o.Undrain {
		return "undrain target " + string(o.Target)
	}
	return "drain target " + string(o.Target)
}

func (o DrainTarget) applyTo(c core.Configuration) core.Configuration {
	c.Drained = cloneOrMake(c.Drained)
	if o.Undrain {
		delete(c.Drained, o.Target)
	} else {
		c.Drained[o.Target] = true
	}
	return c
}

// Replace replaces the whole configuration. It also creates the first revision.
type Replace struct {
	operationMarker
	Configuration core.Configuration
}

// String describes the change.
func (o Replace) String() string { return "replace the configuration" }

func (o Replace) applyTo(c core.Configuration) core.Configuration {
	return o.Configuration.WithRevision(c.Revision)
}

// Restore creates a new revision with the content of an old one.
type Restore struct {
	operationMarker
	Revision core.Revision
}

// String describes the change.
func (o Restore) String() string { return fmt.Sprintf("restore revision %d", o.Revision) }

func cloneOrMake[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
