// Package table is a stand-in for the platform's transactional table service: an in-memory
// table with fault controls, and an HTTP handler that serves it.
package table

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// ErrReplyLost is the error of a transaction whose request or reply a fault lost. The
// caller can't tell which of them.
var ErrReplyLost = errors.New("table stand-in: reply lost")

// Table is an in-memory transactional table. Reads are linearizable. It is safe for
// concurrent use and blocks only on timers, so it works under testing/synctest.
type Table struct {
	mu   sync.Mutex
	rows map[string]core.Row
	keys []string // sorted
	// era counts how often the table went back to a copy. version is the number of the last
	// write, unique in its era.
	era     uint64
	version uint64
	// committed holds the versions that each committed attempt produced, so that a
	// repeated attempt is idempotent.
	committed         map[core.AttemptID][]uint64
	faults            Faults
	counts            Counts
	uncheckedPrefixes []string // prefixes of keys whose versions are not checked
}

var _ core.Table = (*Table)(nil)

// New returns an empty table without faults.
func New() *Table {
	return &Table{rows: map[string]core.Row{}, committed: map[core.AttemptID][]uint64{}}
}

// Read returns the rows of the keys, in the order of the keys. An absent row has version
// 0. It returns an error if a fault refuses the call or the context ends.
func (t *Table) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	if err := t.begin(ctx, false); err != nil {
		return nil, err
	}
	t.mu.Lock()
	rows := make([]core.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	t.counts.RowsRead += len(rows)
	t.mu.Unlock()
	return rows, t.delayReply(ctx)
}

// Scan returns up to limit rows whose keys start with prefix and are greater than after,
// in ascending order. Its errors are those of Read.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]core.Row, error) {
	if err := t.begin(ctx, false); err != nil {
		return nil, err
	}
	t.mu.Lock()
	from := sort.SearchStrings(t.keys, max(prefix, after))
	var rows []core.Row
	for _, key := range t.keys[from:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, t.row(key))
		}
	}
	t.counts.RowsRead += len(rows)
	t.mu.Unlock()
	return rows, t.delayReply(ctx)
}

// Transact applies all writes if every row has its expected version, and none otherwise.
// An attempt that has already committed returns its first result.
func (t *Table) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if err := t.begin(ctx, true); err != nil {
		if errors.Is(err, core.ErrUnavailable) {
			return core.TransactResult{Kind: core.TransactUnavailable, Err: err}
		}
		return core.TransactResult{Kind: core.TransactUnknown, Err: err}
	}
	t.mu.Lock()
	result := t.apply(attempt, writes)
	lost := consume(&t.faults.LoseReplies)
	if lost {
		t.counts.RepliesLost++
	}
	t.mu.Unlock()
	if err := t.delayReply(ctx); err != nil {
		return core.TransactResult{Kind: core.TransactUnknown, Err: err}
	}
	if lost {
		return core.TransactResult{Kind: core.TransactUnknown, Err: ErrReplyLost}
	}
	return result
}

// row returns a copy of the row of a key; if there is none, a row with version 0.
func (t *Table) row(key string) core.Row {
	row, found := t.rows[key]
	if !found {
		return core.Row{Key: key, Era: t.era}
	}
	row.Version, row.Era = core.VersionInEra(t.era, row.Version), t.era
	row.Value = append([]byte(nil), row.Value...)
	return row
}

// Copy is a copy of the table's content.
type Copy struct {
	rows      map[string]core.Row
	keys      []string
	version   uint64
	committed map[core.AttemptID][]uint64
}

// Copy returns a copy of the content.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{maps.Clone(t.rows), slices.Clone(t.keys), t.version, maps.Clone(t.committed)}
}

// GoBack replaces the content by an earlier copy and begins a new era, in which the numbers after
// that of the copy are given out again.
func (t *Table) GoBack(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.era++
	t.rows, t.keys, t.version, t.committed = maps.Clone(c.rows), slices.Clone(c.keys), c.version, maps.Clone(c.committed)
}

// apply commits the writes of an attempt or returns the conflicting rows.
func (t *Table) apply(attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if versions, found := t.committed[attempt]; found {
		return core.TransactResult{Kind: core.TransactCommitted, Versions: append([]uint64(nil), versions...)}
	}
	var conflicts []core.Row
	for _, w := range writes {
		row := t.row(w.Key)
		// Like the platform's store, the table compares numbers and doesn't know the era that the
		// writer read.
		isExpected := w.Expected%core.EraVersions == row.Version%core.EraVersions
		if w.Expected != core.AnyVersion && !isExpected && !t.skipsVersionCheck(w.Key) {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		t.counts.Conflicts++
		return core.TransactResult{Kind: core.TransactConflict, Conflicts: conflicts}
	}
	versions := make([]uint64, len(writes))
	for i, w := range writes {
		versions[i] = t.write(w)
	}
	t.counts.Transactions++
	t.committed[attempt] = versions
	return core.TransactResult{Kind: core.TransactCommitted, Versions: append([]uint64(nil), versions...)}
}

// write applies one write and returns the new version of the row, 0 for a deleted row.
func (t *Table) write(w core.Write) uint64 {
	row, found := t.rows[w.Key]
	if w.CheckOnly {
		return core.VersionInEra(t.era, row.Version)
	}
	t.counts.RowsWritten++
	t.version++
	if w.Delete {
		if found {
			delete(t.rows, w.Key)
			at := sort.SearchStrings(t.keys, w.Key)
			t.keys = append(t.keys[:at], t.keys[at+1:]...)
		}
		return 0
	}
	if !found {
		at := sort.SearchStrings(t.keys, w.Key)
		t.keys = append(t.keys, "")
		copy(t.keys[at+1:], t.keys[at:])
		t.keys[at] = w.Key
	}
	t.rows[w.Key] = core.Row{Key: w.Key, Version: t.version, Value: append([]byte(nil), w.Value...)}
	return core.VersionInEra(t.era, t.version)
}

// begin waits for the latency, and returns an error if the call is refused or its request
// is lost.
func (t *Table) begin(ctx context.Context, write bool) error {
	t.mu.Lock()
	latency := t.faults.Latency
	t.mu.Unlock()
	if err := wait(ctx, latency); err != nil {
		return errors.Wrap(err, "table stand-in: before the call")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Calls++
	switch {
	case t.faults.Outage, write && consume(&t.faults.RefuseWrites):
		t.counts.Refused++
		return errors.Wrap(core.ErrUnavailable, "table stand-in: refused")
	case write && consume(&t.faults.LoseRequests):
		t.counts.RequestsLost++
		return ErrReplyLost
	}
	return nil
}

// delayReply waits for the reply latency.
func (t *Table) delayReply(ctx context.Context) error {
	t.mu.Lock()
	latency := t.faults.ReplyLatency
	t.mu.Unlock()
	return errors.Wrap(wait(ctx, latency), "table stand-in: reply")
}

// wait waits for d. It returns the error of the context if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	if !pause.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
