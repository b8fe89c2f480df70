package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
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
	// SectionDefaults holds the values that requests without one get.
	SectionDefaults Section = "Defaults"
)

// defaultKindName names the document of the default kind.
const defaultKindName = "Kind"

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

// FullUpdate returns an update that holds all of c.
func FullUpdate(c core.Configuration) (Update, error) {
	changes, err := difference(core.Configuration{}, c)
	u := Update{Revision: c.Revision, PresetInForce: c.PresetInForce, Documents: make([]Document, len(changes))}
	for i, change := range changes {
		u.Documents[i] = Document{change.Section, change.Name, change.After}
	}
	return u, err
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
	var d differ
	compare(&d, SectionPresets, before.Presets, after.Presets)
	compare(&d, SectionPolicies, before.Policies, after.Policies)
	compare(&d, SectionKinds, before.Kinds, after.Kinds)
	compare(&d, SectionTargets, targetsByID(before.Targets), targetsByID(after.Targets))
	compare(&d, SectionOrganisations, before.Organisations, after.Organisations)
	compare(&d, SectionDrained, onlyTrue(before.Drained), onlyTrue(after.Drained))
	compare(&d, SectionDefaults, defaultsOf(before), defaultsOf(after))
	slices.SortFunc(d.changes, func(a, b documentChange) int {
		return compareNames(a.Section, b.Section, a.Name, b.Name)
	})
	return d.changes, d.failure
}

type differ struct {
	changes []documentChange
	failure error
}

// compare adds the entries of a section that differ. Only these are encoded:
// encoding all documents of the design size for every change would take 1% of a
// core on the instance that accepts the changes.
func compare[K ~string, V any](d *differ, section Section, before, after map[K]V) {
	encode := func(name K, v V, ok bool) json.RawMessage {
		if !ok {
			return nil
		}
		value, err := json.Marshal(v)
		if err != nil && d.failure == nil {
			d.failure = errors.Wrapf(err, "%s.%s", section, name)
		}
		return value
	}
	add := func(name K) {
		old, had := before[name]
		updated, has := after[name]
		if had && has && reflect.DeepEqual(old, updated) {
			return
		}
		change := documentChange{section, string(name), encode(name, old, had), encode(name, updated, has)}
		if !bytes.Equal(change.Before, change.After) {
			d.changes = append(d.changes, change)
		}
	}
	for name := range after {
		add(name)
	}
	for name := range before {
		if _, ok := after[name]; !ok {
			add(name)
		}
	}
}

func targetsByID(list []core.Target) map[core.TargetID]core.Target {
	byID := make(map[core.TargetID]core.Target, len(list))
	for _, t := range list {
		byID[t.ID] = t
	}
	return byID
}

func defaultsOf(c core.Configuration) map[string]core.KindName {
	if c.DefaultKind == "" {
		return nil
	}
	return map[string]core.KindName{defaultKindName: c.DefaultKind}
}

func onlyTrue(drained map[core.TargetID]bool) map[core.TargetID]bool {
	only := make(map[core.TargetID]bool, len(drained))
	for id, is := range drained {
		if is {
			only[id] = true
		}
	}
	return only
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
			e.targets = targetsByID(c.Targets)
		}
		return setEntry(&e.targets, false, core.TargetID(d.Name), d.Value)
	case SectionDefaults:
		defaults := defaultsOf(*c)
		err := setEntry(&defaults, first, d.Name, d.Value)
		c.DefaultKind = defaults[defaultKindName]
		return err
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
