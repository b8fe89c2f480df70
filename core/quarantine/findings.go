package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gorseline/core"
)

// Finding is the record of one part. Of two records of a part the one with the higher revision
// replaces the other.
type Finding struct {
	Part     uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// IsReleased is set once an engine has survived the part, or an operator has released it.
	IsReleased bool `cbor:"3,keyasint,omitempty"`
	// Probes counts the requests that were let through to find out whether the part still crashes
	// engines. ProbeAt is when the next one may be, in Unix seconds.
	Probes  uint32 `cbor:"4,keyasint,omitempty"`
	ProbeAt int64  `cbor:"5,keyasint,omitempty"`
}

// replaces reports whether f replaces another record of the part.
func (f Finding) replaces(other Finding) bool {
	released := func(f Finding) int {
		if f.IsReleased {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(f.Revision, other.Revision), cmp.Compare(released(f), released(other)),
		cmp.Compare(f.ProbeAt, other.ProbeAt), cmp.Compare(f.Probes, other.Probes)) > 0
}

// WithNextProbe returns the record after a probe at a time. The pause doubles with each probe.
func (f Finding) WithNextProbe(now time.Time) Finding {
	f.Revision++
	f.ProbeAt = now.Add(min(maxProbePause, minProbePause<<min(f.Probes, 16))).Unix()
	f.Probes++
	return f
}

// WithRelease returns the record of the released part.
func (f Finding) WithRelease() Finding {
	f.Revision++
	f.IsReleased = true
	return f
}

const (
	// MaxFindings bounds the number of parts on record. Further ones are not quarantined.
	MaxFindings = 256
	// minProbePause is the pause before the first probe, maxProbePause the longest one. A probe may
	// cost an engine, and what crashes engines changes with their software or by an operator.
	minProbePause = 15 * time.Minute
	maxProbePause = 24 * time.Hour
)

// Findings holds the parts that were found. It is safe for concurrent use.
type Findings struct {
	// current maps the parts to their records. The map is immutable; nil is empty.
	current atomic.Pointer[map[uint64]Finding]

	mu sync.Mutex
	// refusedAt holds when a request with a part was last refused here.
	refusedAt map[uint64]core.Instant
	// probes holds the parts of which one request may be sent.
	probes map[uint64]bool
}

// NewFindings returns an empty record.
func NewFindings() *Findings {
	return &Findings{refusedAt: map[uint64]core.Instant{}, probes: map[uint64]bool{}}
}

func (f *Findings) records() map[uint64]Finding {
	if m := f.current.Load(); m != nil {
		return *m
	}
	return nil
}

// Has reports whether a part is quarantined.
func (f *Findings) Has(part uint64) bool {
	found, ok := f.records()[part]
	return ok && !found.IsReleased
}

// Find returns the record of a part.
func (f *Findings) Find(part uint64) (Finding, bool) {
	found, ok := f.records()[part]
	return found, ok
}

// First returns the index of the first quarantined part, or false.
func (f *Findings) First(parts []core.PromptPart) (index int, ok bool) {
	records := f.records()
	if len(records) == 0 {
		return 0, false
	}
	for i, part := range parts {
		if found, ok := records[part.ID]; ok && !found.IsReleased {
			return i, true
		}
	}
	return 0, false
}

// TakeProbe returns true if a request with a single quarantined part may be sent as a probe of it.
// Otherwise the request is to be refused, which is recorded.
func (f *Findings) TakeProbe(now core.Instant, parts []core.PromptPart) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var quarantined []uint64
	for _, part := range parts {
		if f.Has(part.ID) && !slices.Contains(quarantined, part.ID) {
			quarantined = append(quarantined, part.ID)
		}
	}
	if len(quarantined) == 1 && f.probes[quarantined[0]] {
		delete(f.probes, quarantined[0])
		return true
	}
	for _, part := range quarantined {
		f.refusedAt[part] = now
	}
	return false
}

// Merge records a finding unless the present record of its part replaces it. It returns false if
// nothing has changed.
func (f *Findings) Merge(finding Finding) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.records()
	known, ok := before[finding.Part]
	if ok && !finding.replaces(known) {
		return false
	}
	after := maps.Clone(before)
	if after == nil {
		after = map[uint64]Finding{}
	}
	if !ok && len(after) >= MaxFindings && !dropReleased(after) {
		return false
	}
	after[finding.Part] = finding
	f.current.Store(&after)
	return true
}

// dropReleased deletes the record of a released part. It returns false if there is none.
func dropReleased(records map[uint64]Finding) bool {
	for part, finding := range records {
		if finding.IsReleased {
			delete(records, part)
			return true
		}
	}
	return false
}

// All returns all records, ordered by part.
func (f *Findings) All() []Finding {
	return slices.SortedFunc(maps.Values(f.records()), func(a, b Finding) int { return cmp.Compare(a.Part, b.Part) })
}

// Count returns the number of quarantined parts.
func (f *Findings) Count() int {
	count := 0
	for _, finding := range f.records() {
		if !finding.IsReleased {
			count++
		}
	}
	return count
}

// probeDemand is the time within which a request with the part must have come for a probe.
const probeDemand = time.Minute

// DueProbes returns the records of the parts whose requests still come here and that may be probed at
// the time.
func (f *Findings) DueProbes(now core.Instant, wall time.Time) []Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []Finding
	for part, finding := range f.records() {
		at, ok := f.refusedAt[part]
		if ok && !finding.IsReleased && now.Sub(at) <= probeDemand && wall.Unix() >= finding.ProbeAt {
			due = append(due, finding)
		}
	}
	return due
}

// AllowProbe lets one request with the part through.
func (f *Findings) AllowProbe(part uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes[part] = true
}
