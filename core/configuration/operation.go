package configuration

import (
	"context"
	"fmt"
	"maps"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Operation is one change that an operator asks for.
type Operation interface {
	// String describes the change in the history.
	String() string
	operation()
}

// edit is an operation that needs only the newest configuration.
type edit interface {
	edited(c core.Configuration) core.Configuration
}

// isOperation marks the operations of this package.
type isOperation struct{}

func (isOperation) operation() {}

// apply returns the configuration after an operation.
func (s *Store) apply(ctx context.Context, o Operation, c core.Configuration) (core.Configuration, error) {
	switch o := o.(type) {
	case edit:
		return o.edited(c), nil
	case Restore:
		old, err := s.rewind(ctx, c, o.Revision)
		return old.WithRevision(c.Revision), err
	}
	return core.Configuration{}, errors.Errorf("operation %T can't be applied", o)
}

// SwitchPreset puts another preset in force.
type SwitchPreset struct {
	isOperation
	Name string
}

// String describes the change.
func (o SwitchPreset) String() string { return "switch to preset " + o.Name }

func (o SwitchPreset) edited(c core.Configuration) core.Configuration {
	return c.WithPresetInForce(o.Name)
}

// PutPreset creates or replaces a preset.
type PutPreset struct {
	isOperation
	Preset core.Preset
}

// String describes the change.
func (o PutPreset) String() string { return "put preset " + o.Preset.Name }

func (o PutPreset) edited(c core.Configuration) core.Configuration {
	c.Presets = cloned(c.Presets)
	c.Presets[o.Preset.Name] = o.Preset
	return c
}

// PutPolicy creates or replaces a policy.
type PutPolicy struct {
	isOperation
	Policy core.PolicyDocument
}

// String describes the change.
func (o PutPolicy) String() string { return "put policy " + o.Policy.Name }

func (o PutPolicy) edited(c core.Configuration) core.Configuration {
	c.Policies = cloned(c.Policies)
	c.Policies[o.Policy.Name] = o.Policy
	return c
}

// DrainTarget stops new work to a target, or allows it again.
type DrainTarget struct {
	isOperation
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

func (o DrainTarget) edited(c core.Configuration) core.Configuration {
	c.Drained = cloned(c.Drained)
	if o.Undrain {
		delete(c.Drained, o.Target)
	} else {
		c.Drained[o.Target] = true
	}
	return c
}

// Replace replaces the whole configuration. It also writes the first revision.
type Replace struct {
	isOperation
	Configuration core.Configuration
}

// String describes the change.
func (o Replace) String() string { return "replace the configuration" }

func (o Replace) edited(c core.Configuration) core.Configuration {
	return o.Configuration.WithRevision(c.Revision)
}

// Restore makes an old revision the newest one.
type Restore struct {
	isOperation
	Revision core.Revision
}

// String describes the change.
func (o Restore) String() string { return fmt.Sprintf("restore revision %d", o.Revision) }

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}
