package table

import (
	"slices"
	"strings"
	"time"
)

// Faults are the failures that the table brings about. The zero value is a table
// without failures.
type Faults struct {
	// Outage refuses every call before it runs.
	Outage bool
	// Latency delays a call before it runs, ReplyLatency delays its reply after it
	// took effect. A caller that stops waiting gets an unknown outcome.
	Latency      time.Duration
	ReplyLatency time.Duration
	// LoseReplies is how many of the next transactions take effect and lose their
	// reply; LoseRequests is how many are lost before they run, without the caller
	// learning it; RefuseWrites is how many are refused before they run.
	LoseReplies  int
	LoseRequests int
	RefuseWrites int
}

// take consumes one of a fault's remaining occurrences.
func (*Faults) take(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// Counts says what the table did since it was made.
type Counts struct {
	// Calls counts reads, scans and transactions that reached the table.
	Calls        int
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

// Faults returns the faults that remain.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns what the table did so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// DisableVersionCheck makes the table commit writes to keys with the prefix whatever their
// expected version. It exists for mutation checks, which must report the damage.
func (t *Table) DisableVersionCheck(prefix string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ignore = append(t.ignore, prefix)
}

func (t *Table) ignoresVersion(key string) bool {
	return slices.ContainsFunc(t.ignore, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
