package table

import (
	"slices"
	"strings"
	"time"
)

// Faults are the faults that the table injects. The zero value injects none.
type Faults struct {
	// Outage refuses every call before it runs, with core.ErrUnavailable.
	Outage bool
	// Latency delays a call before it runs, ReplyLatency its reply after it took
	// effect. A transaction whose context ends meanwhile has an unknown outcome.
	Latency      time.Duration
	ReplyLatency time.Duration
	// LoseReplies is the number of next transactions that run and then lose their
	// reply. LoseRequests is the number of those that are lost before they run, which
	// the caller can't distinguish from a lost reply. RefuseWrites is the number of
	// those that are refused before they run, with core.ErrUnavailable.
	LoseReplies  int
	LoseRequests int
	RefuseWrites int
}

// consume uses up one of the remaining occurrences of a fault. It returns false if none
// remains.
func consume(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// Counts are the numbers of calls, rows and faults since the table was created.
type Counts struct {
	// Calls counts reads, scans and transactions that reached the table, including
	// those that a fault then refused or lost.
	Calls int
	// Transactions counts the transactions that committed.
	Transactions int
	Conflicts    int
	RowsRead     int
	RowsWritten  int
	Refused      int
	RequestsLost int
	RepliesLost  int
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the faults with the remaining numbers of occurrences.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the current counts.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// DisableVersionCheck makes the table commit writes to keys with the prefix regardless of
// their expected version. Mutation checks use it to verify that they detect the resulting
// corruption.
func (t *Table) DisableVersionCheck(prefix string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uncheckedPrefixes = append(t.uncheckedPrefixes, prefix)
}

// skipsVersionCheck reports whether writes to a key ignore the expected version.
func (t *Table) skipsVersionCheck(key string) bool {
	return slices.ContainsFunc(t.uncheckedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
