package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Keys of the rows. Revision numbers are zero-padded so that keys sort in the order of
// revisions.
const (
	HeadKey        = "Configuration/Head"
	revisionPrefix = "Configuration/Revision/"
	documentPrefix = "Configuration/Document/"
)

// scanPageSize is the maximum number of rows of one scan: 256 documents of about 200 bytes
// keep a reply near 50 KB.
const scanPageSize = 256

func revisionKey(r core.Revision) string { return fmt.Sprintf("%s%020d", revisionPrefix, r) }

func documentRowKey(section Section, name string) string {
	return documentPrefix + string(section) + "/" + name
}

// Head describes an accepted revision and the change that created it. The head row holds
// that of the newest revision.
type Head struct {
	Revision      core.Revision
	PresetInForce string
	// Operator, Note, Change and At describe the change that created this revision. At is
	// the wall clock time of the operator and is only informative.
	Operator string
	Note     string `json:",omitempty"`
	Change   string
	At       time.Time
	Attempt  core.AttemptID
}

// revisionEntry is the row of one revision: its head and the documents that it changes.
type revisionEntry struct {
	Head
	PresetBefore string
	Documents    []documentDiff
}

func (e revisionEntry) update() Update {
	u := Update{From: e.Revision - 1, Revision: e.Revision, PresetInForce: e.PresetInForce}
	for _, d := range e.Documents {
		u.Documents = append(u.Documents, Document{d.Section, d.Name, d.After})
	}
	return u
}

// inverse returns the update that reverts this revision.
func (e revisionEntry) inverse() Update {
	u := Update{From: e.Revision, Revision: e.Revision - 1, PresetInForce: e.PresetBefore}
	for _, d := range e.Documents {
		u.Documents = append(u.Documents, Document{d.Section, d.Name, d.Before})
	}
	return u
}

// Options configures a Store.
type Options struct {
	Table core.Table
	// ValidatePolicy checks policy documents; nil accepts every policy type.
	ValidatePolicy PolicyValidator
	// NewAttemptID returns a unique ID for each proposal.
	NewAttemptID func() core.AttemptID
	// InForce provides the configuration in force on this instance. Propose uses it
	// instead of reading all documents if its revision is the newest. It may be nil.
	InForce core.ConfigurationProvider
	// MaxCommitTries is the maximum number of calls to write a revision when replies are
	// lost; 0 means 3.
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

// Load reads the newest accepted configuration. Documents that change during the scan are
// corrected by replaying the revisions accepted since its start, which is idempotent.
func (s *Store) Load(ctx context.Context) (core.Configuration, error) {
	before, err := s.Head(ctx)
	if err != nil || before.Revision == 0 {
		return core.Configuration{}, err
	}
	u := Update{Revision: before.Revision, PresetInForce: before.PresetInForce}
	for after := ""; ; {
		rows, err := s.options.Table.Scan(ctx, documentPrefix, after, scanPageSize)
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
		if len(rows) < scanPageSize {
			break
		}
	}
	c, err := withUpdate(core.Configuration{}, u)
	if err != nil {
		return core.Configuration{}, err
	}
	return s.replay(ctx, c)
}

// replay applies the revisions that were accepted after c.
func (s *Store) replay(ctx context.Context, c core.Configuration) (core.Configuration, error) {
	head, err := s.Head(ctx)
	if err != nil {
		return core.Configuration{}, err
	}
	updates, err := s.Updates(ctx, c.Revision, head.Revision)
	if err != nil {
		return core.Configuration{}, err
	}
	for _, u := range updates {
		if c, err = withUpdate(c, u); err != nil {
			return core.Configuration{}, err
		}
	}
	return c, nil
}

// Updates reads the updates after revision from up to and including to.
func (s *Store) Updates(ctx context.Context, from, to core.Revision) ([]Update, error) {
	entries, err := s.entries(ctx, from, to)
	updates := make([]Update, len(entries))
	for i, e := range entries {
		updates[i] = e.update()
	}
	return updates, err
}

// entries reads the revisions after from up to and including to.
func (s *Store) entries(ctx context.Context, from, to core.Revision) ([]revisionEntry, error) {
	var entries []revisionEntry
	for from < to {
		limit := int(min(to-from, scanPageSize))
		rows, err := s.options.Table.Scan(ctx, revisionPrefix, revisionKey(from), limit)
		if err != nil {
			return nil, errors.Wrap(err, "scan configuration revisions")
		}
		if len(rows) < limit {
			return nil, errors.Errorf("revisions %d to %d: only %d rows", from+1, to, len(rows))
		}
		for _, row := range rows {
			var e revisionEntry
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
