package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Section names one kind of document.
type Section string

// Sections of a configuration.
const (
	SectionPresets       Section = "Presets"
	SectionPolicies      Section = "Policies"
	SectionKinds         Section = "Kinds"
	SectionTargets       Section = "Targets"
	SectionOrganisations Section = "Organisations"
	SectionDrained       Section = "Drained"
)

// Document is one named part of a configuration. An empty Value removes it.
type Document struct {
	Section Section `cbor:"1,keyasint"`
	Name    string  `cbor:"2,keyasint"`
	// Value is the document in JSON.
	Value json.RawMessage `json:",omitempty" cbor:"3,keyasint,omitempty"`
}

// Update leads from revision From to Revision. Its documents are absolute, so
// applying one twice gives the same configuration.
type Update struct {
	From          core.Revision `cbor:"1,keyasint"`
	Revision      core.Revision `cbor:"2,keyasint"`
	PresetInForce string        `cbor:"3,keyasint"`
	Documents     []Document    `json:",omitempty" cbor:"4,keyasint,omitempty"`
}

// IsFull reports whether the update holds the whole configuration and can be
// applied to any revision.
func (u Update) IsFull() bool { return u.From == 0 }

type documentKey struct {
	section Section
	name    string
}

// documents returns every document of c in JSON.
func documents(c core.Configuration) (map[documentKey]json.RawMessage, error) {
	all := make(map[documentKey]json.RawMessage)
	var failure error
	add := func(section Section, name string, v any) {
		value, err := json.Marshal(v)
		if err != nil && failure == nil {
			failure = errors.Wrapf(err, "%s.%s", section, name)
		}
		all[documentKey{section, name}] = value
	}
	for name, v := range c.Presets {
		add(SectionPresets, name, v)
	}
	for name, v := range c.Policies {
		add(SectionPolicies, name, v)
	}
	for name, v := range c.Kinds {
		add(SectionKinds, string(name), v)
	}
	for _, v := range c.Targets {
		add(SectionTargets, string(v.ID), v)
	}
	for name, v := range c.Organisations {
		add(SectionOrganisations, string(name), v)
	}
	for name, drained := range c.Drained {
		if drained {
			add(SectionDrained, string(name), true)
		}
	}
	return all, failure
}

// FullUpdate returns an update that holds all of c.
func FullUpdate(c core.Configuration) (Update, error) {
	all, err := documents(c)
	if err != nil {
		return Update{}, err
	}
	u := Update{Revision: c.Revision, PresetInForce: c.PresetInForce}
	for key, value := range all {
		u.Documents = append(u.Documents, Document{key.section, key.name, value})
	}
	sortDocuments(u.Documents)
	return u, nil
}

// documentChange is a document before and after a change.
type documentChange struct {
	Section Section
	Name    string
	Before  json.RawMessage `json:",omitempty"`
	After   json.RawMessage `json:",omitempty"`
}

// difference lists the documents that differ between two configurations.
func difference(before, after core.Configuration) ([]documentChange, error) {
	old, err := documents(before)
	if err != nil {
		return nil, err
	}
	updated, err := documents(after)
	if err != nil {
		return nil, err
	}
	var changes []documentChange
	for key, value := range updated {
		if !bytes.Equal(old[key], value) {
			changes = append(changes, documentChange{key.section, key.name, old[key], value})
		}
	}
	for key, value := range old {
		if _, ok := updated[key]; !ok {
			changes = append(changes, documentChange{key.section, key.name, value, nil})
		}
	}
	slices.SortFunc(changes, func(a, b documentChange) int {
		return compareNames(a.Section, b.Section, a.Name, b.Name)
	})
	return changes, nil
}

func sortDocuments(list []Document) {
	slices.SortFunc(list, func(a, b Document) int {
		return compareNames(a.Section, b.Section, a.Name, b.Name)
	})
}

func compareNames(sectionA, sectionB Section, nameA, nameB string) int {
	if c := strings.Compare(string(sectionA), string(sectionB)); c != 0 {
		return c
	}
	return strings.Compare(nameA, nameB)
}

// with returns c with the documents of u. Only the sections that change are
// copied, because c may be in use by requests.
func with(c core.Configuration, u Update) (core.Configuration, error) {
	if u.IsFull() {
		c = core.Configuration{}
	}
	e := editor{configuration: c, copied: make(map[Section]bool)}
	for _, d := range u.Documents {
		if err := e.set(d); err != nil {
			return core.Configuration{}, errors.Wrapf(err, "%s.%s", d.Section, d.Name)
		}
	}
	e.finish()
	e.configuration.Revision = u.Revision
	e.configuration.PresetInForce = u.PresetInForce
	return e.configuration, nil
}

// editor changes single documents of a configuration, copying on write.
type editor struct {
	configuration core.Configuration
	copied        map[Section]bool
	targets       map[core.TargetID]core.Target
}

func (e *editor) set(d Document) error {
	c, first := &e.configuration, !e.copied[d.Section]
	e.copied[d.Section] = true
	switch d.Section {
	case SectionPresets:
		return setEntry(&c.Presets, first, d.Name, d.Value)
	case SectionPolicies:
		return setEntry(&c.Policies, first, d.Name, d.Value)
	case SectionKinds:
		return setEntry(&c.Kinds, first, core.KindName(d.Name), d.Value)
	case SectionOrganisations:
		return setEntry(&c.Organisations, first, core.Organisation(d.Name), d.Value)
	case SectionDrained:
		return setEntry(&c.Drained, first, core.TargetID(d.Name), d.Value)
	case SectionTargets:
		if first {
			e.targets = make(map[core.TargetID]core.Target, len(c.Targets))
			for _, t := range c.Targets {
				e.targets[t.ID] = t
			}
		}
		return setEntry(&e.targets, false, core.TargetID(d.Name), d.Value)
	}
	return errors.Errorf("unknown section")
}

// finish writes the targets back in the order of their IDs.
func (e *editor) finish() {
	if e.targets == nil {
		return
	}
	e.configuration.Targets = slices.SortedFunc(maps.Values(e.targets), func(a, b core.Target) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

func setEntry[K comparable, V any](m *map[K]V, first bool, name K, value json.RawMessage) error {
	if first {
		*m = maps.Clone(*m)
	}
	if *m == nil {
		*m = make(map[K]V)
	}
	if len(value) == 0 {
		delete(*m, name)
		return nil
	}
	var v V
	if err := json.Unmarshal(value, &v); err != nil {
		return err
	}
	(*m)[name] = v
	return nil
}
