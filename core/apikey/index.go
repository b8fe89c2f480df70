// Package apikey decides which organisation a request belongs to, from its API key and the
// configuration in force.
package apikey

import (
	"slices"

	"gorseline/core"
)

// maxDropped bounds the dropped keys that an index remembers.
const maxDropped = 1024

// Index maps the keys of one configuration to organisations. It is immutable.
type Index struct {
	version     core.Revision
	isEnforced  bool
	maxKeyBytes int
	holders     map[core.KeyDigest]*core.OrganisationKeys
	// dropped lists the keys that this and earlier configurations dropped, oldest first.
	dropped []droppedKey
	changes Changes
}

// droppedKey is a key and the version that dropped it.
type droppedKey struct {
	key     core.KeyDigest
	version core.Revision
}

// Changes describes how the keys of a configuration differ from those of the one before.
type Changes struct {
	Added, Dropped int
	// Losers names the organisations that lost keys, in ascending order.
	Losers []core.Organisation
}

// NewIndex returns the index of a configuration, which must not change afterwards.
func NewIndex(c *core.Forwarding) *Index {
	x := &Index{
		version: c.Version, isEnforced: c.HasOrganisations, maxKeyBytes: c.MaxKeyBytes,
		holders: map[core.KeyDigest]*core.OrganisationKeys{},
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			x.holders[key] = &c.Organisations[i]
		}
	}
	return x
}

// WithPrevious returns a copy that knows how its keys differ from those of the index that it
// replaces, and which keys that one and earlier ones dropped.
func (x *Index) WithPrevious(previous *Index) *Index {
	with := *x
	with.changes = Changes{}
	for key := range x.holders {
		if previous.holders[key] == nil {
			with.changes.Added++
		}
	}
	var dropped []droppedKey
	for key, holder := range previous.holders {
		if x.holders[key] == nil {
			dropped = append(dropped, droppedKey{key, x.version})
			with.changes.Losers = append(with.changes.Losers, holder.Name)
		}
	}
	with.changes.Dropped = len(dropped)
	slices.Sort(with.changes.Losers)
	with.changes.Losers = slices.Compact(with.changes.Losers)
	for _, d := range previous.dropped {
		if x.holders[d.key] == nil {
			with.dropped = append(with.dropped, d)
		}
	}
	with.dropped = append(with.dropped, dropped...)
	with.dropped = with.dropped[max(0, len(with.dropped)-maxDropped):]
	return &with
}

// droppedIn returns the version that dropped a key, or 0.
func (x *Index) droppedIn(key core.KeyDigest) core.Revision {
	for _, d := range x.dropped {
		if d.key == key {
			return d.version
		}
	}
	return 0
}

// IsEnforced reports whether the configuration has organisations.
func (x *Index) IsEnforced() bool { return x.isEnforced }

// Len returns the number of keys.
func (x *Index) Len() int { return len(x.holders) }

// Changes returns how the keys differ from those of the configuration before.
func (x *Index) Changes() Changes { return x.changes }
