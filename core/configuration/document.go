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
	// SectionDefaults holds default values for requests that omit them.
	SectionDefaults Section = "Defaults"
)

// defaultKindName names the document of the default kind.
const defaultKindName = "Kind"

// Document is one named part of a configuration. An empty Value deletes the document.
type Document struct {
	Section Section `cbor:"1,keyasint"`
	Name    string  `cbor:"2,keyasint"`
	// Value is the document in JSON.
	Value json.RawMessage `json:",omitempty" cbor:"3,keyasint,omitempty"`
}

// Update changes a configuration from revision From to Revision. Its documents hold
// complete values, so applying an update is idempotent.
type Update struct {
	From          core.Revision `cbor:"1,keyasint"`
	Revision      core.Revision `cbor:"2,keyasint"`
	PresetInForce string        `cbor:"3,keyasint"`
	Documents     []Document    `json:",omitempty" cbor:"4,keyasint,omitempty"`
}

// IsFull reports whether the update holds the whole configuration and can be
// applied to any older revision.
func (u Update) IsFull() bool { return u.From == 0 }

// FullUpdate returns an update that holds all of c.
func FullUpdate(c core.Configuration) (Update, error) {
	changes, err := diff(core.Configuration{}, c)
	u := Update{Revision: c.Revision, PresetInForce: c.PresetInForce, Documents: make([]Document, len(changes))}
	for i, change := range changes {
		u.Documents[i] = Document{change.Section, change.Name, change.After}
	}
	return u, err
}

// documentDiff is a document before and after a change.
type documentDiff struct {
	Section Section
	Name    string
	Before  json.RawMessage `json:",omitempty"`
	After   json.RawMessage `json:",omitempty"`
}

// diff lists the documents that differ between two configurations.
func diff(before, after core.Configuration) ([]documentDiff, error) {
	var d differ
	diffSection(&d, SectionPresets, before.Presets, after.Presets)
	diffSection(&d, SectionPolicies, before.Policies, after.Policies)
	diffSection(&d, SectionKinds, before.Kinds, after.Kinds)
	diffSection(&d, SectionTargets, targetsByID(before.Targets), targetsByID(after.Targets))
	diffSection(&d, SectionOrganisations, before.Organisations, after.Organisations)
	diffSection(&d, SectionDrained, drainedOnly(before.Drained), drainedOnly(after.Drained))
	diffSection(&d, SectionDefaults, defaultsByName(before), defaultsByName(after))
	slices.SortFunc(d.changes, func(a, b documentDiff) int {
		return compareDocuments(a.Section, b.Section, a.Name, b.Name)
	})
	return d.changes, d.err
}

// differ collects the differences of all sections and the first encoding error.
type differ struct {
	changes []documentDiff
	err     error
}

// diffSection adds the entries of a section that differ. Only these are encoded: encoding
// all documents at the design size for every change would take 1% of a core on the instance
// that accepts the changes.
func diffSection[K ~string, V any](d *differ, section Section, before, after map[K]V) {
	encode := func(name K, v V, ok bool) json.RawMessage {
		if !ok {
			return nil
		}
		value, err := json.Marshal(v)
		if err != nil && d.err == nil {
			d.err = errors.Wrapf(err, "%s.%s", section, name)
		}
		return value
	}
	add := func(name K) {
		old, inBefore := before[name]
		updated, inAfter := after[name]
		if inBefore && inAfter && reflect.DeepEqual(old, updated) {
			return
		}
		change := documentDiff{section, string(name), encode(name, old, inBefore), encode(name, updated, inAfter)}
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

func defaultsByName(c core.Configuration) map[string]core.KindName {
	if c.DefaultKind == "" {
		return nil
	}
	return map[string]core.KindName{defaultKindName: c.DefaultKind}
}

func drainedOnly(drained map[core.TargetID]bool) map[core.TargetID]bool {
	targets := make(map[core.TargetID]bool, len(drained))
	for id, isDrained := range drained {
		if isDrained {
			targets[id] = true
		}
	}
	return targets
}

func compareDocuments(sectionA, sectionB Section, nameA, nameB string) int {
	if c := strings.Compare(string(sectionA), string(sectionB)); c != 0 {
		return c
	}
	return strings.Compare(nameA, nameB)
}

// withUpdate returns c with the documents of u. Only the sections that change are copied,
// because requests may be using c.
func withUpdate(c core.Configuration, u Update) (core.Configuration, error) {
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

// editor sets single documents of a configuration. It copies a section before the first
// change to it.
type editor struct {
	configuration core.Configuration
	copied        map[Section]bool
	targets       map[core.TargetID]core.Target
}

func (e *editor) set(d Document) error {
	c, needsCopy := &e.configuration, !e.copied[d.Section]
	e.copied[d.Section] = true
	switch d.Section {
	case SectionPresets:
		return setEntry(&c.Presets, needsCopy, d.Name, d.Value)
	case SectionPolicies:
		return setEntry(&c.Policies, needsCopy, d.Name, d.Value)
	case SectionKinds:
		return setEntry(&c.Kinds, needsCopy, core.KindName(d.Name), d.Value)
	case SectionOrganisations:
		return setEntry(&c.Organisations, needsCopy, core.Organisation(d.Name), d.Value)
	case SectionDrained:
		return setEntry(&c.Drained, needsCopy, core.TargetID(d.Name), d.Value)
	case SectionTargets:
		if needsCopy {
			e.targets = targetsByID(c.Targets)
		}
		return setEntry(&e.targets, false, core.TargetID(d.Name), d.Value)
	case SectionDefaults:
		defaults := defaultsByName(*c)
		err := setEntry(&defaults, needsCopy, d.Name, d.Value)
		c.DefaultKind = defaults[defaultKindName]
		return err
	}
	return errors.Errorf("unknown section")
}

// finish replaces the targets of the configuration by the edited ones, sorted by ID.
func (e *editor) finish() {
	if e.targets == nil {
		return
	}
	e.configuration.Targets = slices.SortedFunc(maps.Values(e.targets), func(a, b core.Target) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

func setEntry[K comparable, V any](m *map[K]V, needsCopy bool, name K, value json.RawMessage) error {
	if needsCopy {
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
