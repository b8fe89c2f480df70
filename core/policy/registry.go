package policy

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Options are what a policy needs beside its document.
type Options struct {
	// Placer plans role changes; nil never changes roles.
	Placer core.Placer
	// Seed starts the randomness of the policy's decisions. Instances use different
	// seeds, so that they don't choose alike.
	Seed uint64
	// Preset is the preset in force. Its UrgentShare overrides the document's when set.
	Preset core.Preset
	// Organisations hold the limits of single organisations.
	Organisations map[core.Organisation]core.OrganisationDocument
}

func (o Options) source() *random.Source { return random.New(o.Seed) }

// definition is one registered policy type.
type definition struct {
	defaults func() any
	build    func(document core.PolicyDocument, options Options) (core.Policy, error)
}

var definitions = map[string]definition{}

// parameters is the typed form of a document's parameters.
type parameters interface {
	// validate reports the first field outside its accepted range.
	validate(path string) error
}

// register adds a policy type. build gets valid parameters and returns the router and
// the admitter.
func register[P parameters](name string, defaults P, build func(P, Options) (core.Router, core.Admitter)) {
	if _, taken := definitions[name]; taken {
		panic("policy type registered twice: " + name)
	}
	definitions[name] = definition{
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

// Types returns the registered policy types in order.
func Types() []string { return slices.Sorted(maps.Keys(definitions)) }

// New builds the policy that the document describes. The error is a
// *core.InvalidValueError for an unknown type or parameter or a value that is not
// accepted.
func New(document core.PolicyDocument, options Options) (core.Policy, error) {
	known, ok := definitions[document.Type]
	if !ok {
		return nil, &core.InvalidValueError{
			Path:     "Policies." + document.Name + ".Type",
			Value:    document.Type,
			Accepted: Types(),
		}
	}
	return known.build(document, options)
}

// Validate reports whether New accepts the document.
func Validate(document core.PolicyDocument) error {
	_, err := New(document, Options{})
	return err
}

// Defaults returns the parameters of a policy type with their default values.
func Defaults(name string) (json.RawMessage, error) {
	known, ok := definitions[name]
	if !ok {
		return nil, &core.InvalidValueError{Path: "Type", Value: name, Accepted: Types()}
	}
	text, err := json.Marshal(known.defaults())
	return text, errors.Wrap(err, "encode default parameters")
}
