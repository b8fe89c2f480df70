package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Keys of the rows. Revision numbers are padded so that key order is number order.
const (
	HeadKey        = "Configuration/Head"
	revisionPrefix = "Configuration/Revision/"
	documentPrefix = "Configuration/Document/"
)

// scanPage is the number of rows of one scan: 256 documents of about 200 bytes
// keep a reply near 50 KB.
const scanPage = 256

func revisionKey(r core.Revision) string { return fmt.Sprintf("%s%020d", revisionPrefix, r) }

func documentRowKey(section Section, name string) string {
	return documentPrefix + string(section) + "/" + name
}

// Head says which revision is accepted and who accepted it.
type Head struct {
	Revision      core.Revision
	PresetInForce string
	// Operator, Note, Change and At describe the change that made this revision.
	// At comes from the operator's wall clock and is only informative.
	Operator string
	Note     string `json:",omitempty"`
	Change   string
	At       time.Time
	Attempt  core.AttemptID
}

// entry is the row of one revision: its head and what it changed.
type entry struct {
	Head
	PresetBefore string
	Documents    []documentChange
}

func (e entry) update() Update {
	u := Update{From: e.Revision - 1, Revision: e.Revision, PresetInForce: e.PresetInForce}
	for _, d := range e.Documents {
		u.Documents = append(u.Documents, Document{d.Section, d.Name, d.After})
	}
	return u
}

// inverse returns the update that leads back to the revision before.
func (e entry) inverse() Update {
	u := Update{From: e.Revision, Revision: e.Revision - 1, PresetInForce: e.PresetBefore}
	for _, d := range e.Documents {
		u.Documents = append(u.Documents, Document{d.Section, d.Name, d.Before})
	}
	return u
}

// Options are the parts of a Store.
type Options struct {
	Table core.Table
	// ValidatePolicy checks policy documents; nil accepts every policy type.
	ValidatePolicy PolicyValidator
	// NewAttemptID returns a new attempt ID for each proposal.
	NewAttemptID func() core.AttemptID
	// InForce saves Propose from reading all documents when its revision is the
	// accepted one; it may be nil.
	InForce core.ConfigurationProvider
	// MaxCommitTries bounds how often a write with a lost reply is repeated; 0 uses 3.
	MaxCommitTries int
}

// Store reads and changes the configuration in the table service.
type Store struct{ options Options }

// NewStore returns a store over a table.
func NewStore(o Options) *Store {
	if o.MaxCommitTries == 0 {
		o.MaxCommitTries = 3
	}
	return &Store{options: o}
}

// Head reads the head row. The head of an empty table has revision 0.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	return head, err
}

func (s *Store) head(ctx context.Context) (Head, uint64, error) {
	rows, err := s.options.Table.Read(ctx, HeadKey)
	if err != nil {
		return Head{}, 0, errors.Wrap(err, "read configuration head")
	}
	var head Head
	if rows[0].Version == 0 {
		return head, 0, nil
	}
	err = json.Unmarshal(rows[0].Value, &head)
	return head, rows[0].Version, errors.Wrap(err, HeadKey)
}

// Load reads the accepted configuration. Documents that change during the scan
// are corrected by applying the revisions accepted meanwhile, which are absolute.
func (s *Store) Load(ctx context.Context) (core.Configuration, error) {
	before, err := s.Head(ctx)
	if err != nil || before.Revision == 0 {
		return core.Configuration{}, err
	}
	u := Update{Revision: before.Revision, PresetInForce: before.PresetInForce}
	for after := ""; ; {
		rows, err := s.options.Table.Scan(ctx, documentPrefix, after, scanPage)
		if err != nil {
			return core.Configuration{}, errors.Wrap(err, "scan configuration documents")
		}
		for _, row := range rows {
			var d Document
			if err := json.Unmarshal(row.Value, &d); err != nil {
				return core.Configuration{}, errors.Wrap(err, row.Key)
			}
			u.Documents = append(u.Documents, d)
			after = row.Key
		}
		if len(rows) < scanPage {
			break
		}
	}
	c, err := with(core.Configuration{}, u)
	if err != nil {
		return core.Configuration{}, err
	}
	return s.forward(ctx, c)
}

// forward applies the revisions that were accepted after c.
func (s *Store) forward(ctx context.Context, c core.Configuration) (core.Configuration, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return core.Configuration{}, err
	}
	updates, err := s.Updates(ctx, c.Revision, head.Revision)
	if err != nil {
		return core.Configuration{}, err
	}
	for _, u := range updates {
		if c, err = with(c, u); err != nil {
			return core.Configuration{}, err
		}
	}
	return c, nil
}

// Updates reads the updates that lead from one revision to a later one.
func (s *Store) Updates(ctx context.Context, from, to core.Revision) ([]Update, error) {
	entries, err := s.entries(ctx, from, to)
	updates := make([]Update, len(entries))
	for i, e := range entries {
		updates[i] = e.update()
	}
	return updates, err
}

// entries reads the revisions after from up to and including to.
func (s *Store) entries(ctx context.Context, from, to core.Revision) ([]entry, error) {
	var entries []entry
	for from < to {
		limit := int(min(to-from, scanPage))
		rows, err := s.options.Table.Scan(ctx, revisionPrefix, revisionKey(from), limit)
		if err != nil {
			return nil, errors.Wrap(err, "scan configuration revisions")
		}
		if len(rows) < limit {
			return nil, errors.Errorf("revisions %d to %d: only %d rows", from+1, to, len(rows))
		}
		for _, row := range rows {
			var e entry
			if err := json.Unmarshal(row.Value, &e); err != nil {
				return nil, errors.Wrap(err, row.Key)
			}
			if e.Revision != from+1 {
				return nil, errors.Errorf("%s: revision %d, expected %d", row.Key, e.Revision, from+1)
			}
			from = e.Revision
			entries = append(entries, e)
		}
	}
	return entries, nil
}
