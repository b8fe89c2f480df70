package configuration

import (
	"context"
	"fmt"
	"slices"

	"gorseline/core"
)

// Difference is one document that differs between two revisions. Before and
// After are empty where the document is absent.
type Difference struct {
	Path   string
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
}

// History lists up to limit revisions in descending order, starting at newest or, if that
// is 0, at the head.
func (s *Store) History(ctx context.Context, newest core.Revision, limit int) ([]Head, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	if newest == 0 || newest > head.Revision {
		newest = head.Revision
	}
	from := core.Revision(0)
	if newest > core.Revision(limit) {
		from = newest - core.Revision(limit)
	}
	entries, err := s.entries(ctx, from, newest)
	heads := make([]Head, len(entries))
	for i, e := range entries {
		heads[len(entries)-1-i] = e.Head
	}
	return heads, err
}

// LoadRevision returns the configuration of a revision. The error is of type Problems if
// the revision does not exist.
func (s *Store) LoadRevision(ctx context.Context, revision core.Revision) (core.Configuration, error) {
	c, err := s.Load(ctx)
	if err != nil {
		return core.Configuration{}, err
	}
	return s.rewind(ctx, c, revision)
}

// Compare lists the documents that differ between two revisions.
func (s *Store) Compare(ctx context.Context, a, b core.Revision) ([]Difference, error) {
	newest, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	before, err := s.rewind(ctx, newest, a)
	if err != nil {
		return nil, err
	}
	after, err := s.rewind(ctx, newest, b)
	if err != nil {
		return nil, err
	}
	changes, err := diff(before, after)
	if err != nil {
		return nil, err
	}
	var list []Difference
	if before.PresetInForce != after.PresetInForce {
		list = append(list, Difference{"PresetInForce", before.PresetInForce, after.PresetInForce})
	}
	for _, c := range changes {
		list = append(list, Difference{string(c.Section) + "." + c.Name, string(c.Before), string(c.After)})
	}
	return list, nil
}

// rewind reverts c to the given revision. The error is of type Problems if the revision is
// 0 or newer than c.
func (s *Store) rewind(ctx context.Context, c core.Configuration, revision core.Revision) (core.Configuration, error) {
	if revision == 0 || revision > c.Revision {
		var problems Problems
		problems.add("Revision", fmt.Sprint(revision), fmt.Sprintf("1 to %d", c.Revision))
		return core.Configuration{}, problems
	}
	entries, err := s.entries(ctx, revision, c.Revision)
	if err != nil {
		return core.Configuration{}, err
	}
	for _, e := range slices.Backward(entries) {
		if c, err = withUpdate(c, e.inverse()); err != nil {
			return core.Configuration{}, err
		}
	}
	return c, nil
}
