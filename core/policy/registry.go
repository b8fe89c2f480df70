package policy

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Options are the inputs of a policy in addition to its document.
type Options struct {
	// Placer plans role changes; with nil, roles never change.
	Placer core.Placer
	// Seed seeds the policy's random decisions. Instances use different seeds, so that
	// their choices are independent.
	Seed uint64
	// Preset is the active preset. Its UrgentShare overrides the document's if it is not 0.
	Preset core.Preset
	// Organisations holds the limits of individual organisations.
	Organisations map[core.Organisation]core.OrganisationDocument
}

func (o Options) source() *random.Source { return random.New(o.Seed) }

// policyType is one registered policy type.
type policyType struct {
	defaults func() any
	build    func(document core.PolicyDocument, options Options) (core.Policy, error)
}

var policyTypes = map[string]policyType{}

// parameters is the typed form of a document's parameters.
type parameters interface {
	// validate reports the first field outside its accepted range.
	validate(path string) error
}

// register adds a policy type. build receives validated parameters. register panics if
// the name is already registered.
func register[P parameters](name string, defaults P, build func(P, Options) (core.Router, core.Admitter)) {
	if _, exists := policyTypes[name]; exists {
		panic("policy type registered twice: " + name)
	}
	policyTypes[name] = policyType{
		defaults: func() any { return defaults },
		build: func(document core.PolicyDocument, options Options) (core.Policy, error) {
			path := "Policies." + document.Name + ".Parameters"
			decoded, err := decode(path, document.Parameters, defaults)
			if err != nil {
				return nil, err
			}
			router, admitter := build(decoded, options)
			return compose(document.Name, router, admitter, options.Placer), nil
		},
	}
}

// Types returns the names of the registered policy types in alphabetical order.
func Types() []string { return slices.Sorted(maps.Keys(policyTypes)) }

// New builds the policy that the document describes. The error is a
// *core.InvalidValueError if the type or a parameter is unknown or a value is outside its
// accepted range.
func New(document core.PolicyDocument, options Options) (core.Policy, error) {
	registered, ok := policyTypes[document.Type]
	if !ok {
		return nil, &core.InvalidValueError{
			Path:     "Policies." + document.Name + ".Type",
			Value:    document.Type,
			Accepted: Types(),
		}
	}
	return registered.build(document, options)
}

// Validate returns the error that New would return for the document.
func Validate(document core.PolicyDocument) error {
	_, err := New(document, Options{})
	return err
}

// Defaults returns the parameters of a policy type with their default values.
func Defaults(name string) (json.RawMessage, error) {
	registered, ok := policyTypes[name]
	if !ok {
		return nil, &core.InvalidValueError{Path: "Type", Value: name, Accepted: Types()}
	}
	text, err := json.Marshal(registered.defaults())
	return text, errors.Wrap(err, "encode default parameters")
}
