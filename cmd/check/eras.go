package check

import (
	"context"
	"time"

	"gorseline/core"
)

const (
	// copyInterval is the time between two copies of the table, and maxCopies the number that
	// is kept: the table loses up to 5 s.
	copyInterval = 250 * time.Millisecond
	maxCopies    = 20
)

// planEras makes the table go back one to three times, at times twice within a second.
func (w *world) planEras() {
	w.after(0, w.copyTable)
	for range 1 + w.random.IntN(3) {
		at := w.between(2*time.Second, faultPhase)
		w.after(at, w.goBack)
		if w.chance(0.3) {
			w.after(at+w.between(0, time.Second), w.goBack)
		}
	}
}

func (w *world) copyTable() {
	w.copies = append(w.copies, w.table.Copy())
	w.copies = w.copies[max(0, len(w.copies)-maxCopies):]
	w.after(copyInterval, w.copyTable)
}

// goBack makes the table come back from one of its copies. Later copies are dropped, as they are
// of an era that is over.
func (w *world) goBack() {
	w.faults["GoBack"]++
	n := w.random.IntN(len(w.copies))
	w.table.GoBack(w.copies[n])
	w.copies = w.copies[:n+1]
}

// eraTable tracks the era of the table as the adapter of the platform does: it does not send
// writes that expect versions of an earlier era than it has seen, and answers of an earlier era
// count as lost. Mutations hide eras from the instance.
type eraTable struct {
	core.Table
	i *instance
}

// Read reads rows.
func (t eraTable) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	rows, err := t.Table.Read(ctx, keys...)
	if err != nil || len(rows) > 0 && !t.take(rows[0].Era) {
		return nil, core.ErrUnavailable
	}
	for i := range rows {
		rows[i] = t.mutate(rows[i])
	}
	return rows, nil
}

// take records the era of an answer and reports whether the answer is of the latest era.
func (t eraTable) take(era uint64) bool {
	if era < t.i.era {
		return false
	}
	t.i.era = era
	return true
}

func (t eraTable) mutate(row core.Row) core.Row {
	m := &t.i.w.mutation
	if m.noEras {
		row.Version %= core.EraVersions
	}
	if m.noEras || m.noRowEra {
		row.Era = 0
	}
	return row
}

// Transact runs a transaction.
func (t eraTable) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	m := &t.i.w.mutation
	if !m.noEras && core.ExpectOtherEra(writes, t.i.era) {
		return t.conflicts(ctx, writes)
	}
	result := t.Table.Transact(ctx, attempt, writes)
	for i, version := range result.Versions {
		if m.noEras {
			result.Versions[i] %= core.EraVersions
			continue
		}
		if !t.take(core.EraOf(version)) {
			return core.TransactResult{Kind: core.TransactUnknown, Err: core.ErrUnavailable}
		}
	}
	for i := range result.Conflicts {
		t.take(result.Conflicts[i].Era)
		result.Conflicts[i] = t.mutate(result.Conflicts[i])
	}
	return result
}

// conflicts returns the current rows of a transaction that was not sent.
func (t eraTable) conflicts(ctx context.Context, writes []core.Write) core.TransactResult {
	result := core.TransactResult{Kind: core.TransactConflict}
	for _, w := range writes {
		rows, err := t.Read(ctx, w.Key)
		if err != nil {
			return core.TransactResult{Kind: core.TransactUnavailable, Err: err}
		}
		if rows[0].Version != w.Expected {
			result.Conflicts = append(result.Conflicts, rows[0])
		}
	}
	return result
}
