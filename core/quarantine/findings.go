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

// Finding is the record of one trait. Of two records of a trait the one with the higher revision
// replaces the other.
type Finding struct {
	Trait    uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// IsReleased is set once a target has survived the trait, or an operator has released it.
	IsReleased bool `cbor:"3,keyasint,omitempty"`
	// Probes counts the requests that were let through to find out whether the trait still crashes
	// targets. ProbeAt is when the next one may be, in Unix seconds.
	Probes  uint32 `cbor:"4,keyasint,omitempty"`
	ProbeAt int64  `cbor:"5,keyasint,omitempty"`
	// Kind is the kind of the trait.
	Kind core.TraitKind `cbor:"6,keyasint,omitempty"`
}

// replaces reports whether f replaces another record of the trait.
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

// WithRelease returns the record of the released trait.
func (f Finding) WithRelease() Finding {
	f.Revision++
	f.IsReleased = true
	return f
}

const (
	// MaxFindings bounds the number of traits on record. Further ones are not quarantined.
	MaxFindings = 256
	// minProbePause is the pause before the first probe, maxProbePause the longest one. A probe may
	// cost a target, and what crashes targets changes with their software or by an operator.
	minProbePause = 15 * time.Minute
	maxProbePause = 24 * time.Hour
)

// Findings holds the traits that were found. It is safe for concurrent use.
type Findings struct {
	// current maps the traits to their records. The map is immutable; nil is empty.
	current atomic.Pointer[map[uint64]Finding]

	mu sync.Mutex
	// refusedAt holds when a request with a trait was last refused here.
	refusedAt map[uint64]core.Instant
	// probes holds the traits of which one request may be sent.
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

// Has reports whether a trait is quarantined.
func (f *Findings) Has(trait uint64) bool {
	found, ok := f.records()[trait]
	return ok && !found.IsReleased
}

// Find returns the record of a trait.
func (f *Findings) Find(trait uint64) (Finding, bool) {
	found, ok := f.records()[trait]
	return found, ok
}

// First returns the index of the first quarantined trait, or false.
func (f *Findings) First(traits []core.Trait) (index int, ok bool) {
	records := f.records()
	if len(records) == 0 {
		return 0, false
	}
	for i, t := range traits {
		if found, ok := records[t.ID]; ok && !found.IsReleased {
			return i, true
		}
	}
	return 0, false
}

// TakeProbe returns true if a request with a single quarantined trait may be sent as a probe of it.
// Otherwise the request is to be refused, which is recorded.
func (f *Findings) TakeProbe(now core.Instant, traits []core.Trait) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var quarantined []uint64
	for _, t := range traits {
		if f.Has(t.ID) && !slices.Contains(quarantined, t.ID) {
			quarantined = append(quarantined, t.ID)
		}
	}
	if len(quarantined) == 1 && f.probes[quarantined[0]] {
		delete(f.probes, quarantined[0])
		return true
	}
	for _, trait := range quarantined {
		f.refusedAt[trait] = now
	}
	return false
}

// Merge records a finding unless the present record of its trait replaces it. It returns false if
// nothing has changed.
func (f *Findings) Merge(finding Finding) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.records()
	known, ok := before[finding.Trait]
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
	after[finding.Trait] = finding
	f.current.Store(&after)
	return true
}

// dropReleased deletes the record of a released trait. It returns false if there is none.
func dropReleased(records map[uint64]Finding) bool {
	for trait, finding := range records {
		if finding.IsReleased {
			delete(records, trait)
			return true
		}
	}
	return false
}

// All returns all records, ordered by trait.
func (f *Findings) All() []Finding {
	return slices.SortedFunc(maps.Values(f.records()), func(a, b Finding) int { return cmp.Compare(a.Trait, b.Trait) })
}

// Count returns the number of quarantined traits.
func (f *Findings) Count() int {
	return f.CountKind(core.TraitPart) + f.CountKind(core.TraitRequest)
}

// CountKind returns the number of quarantined traits of a kind.
func (f *Findings) CountKind(kind core.TraitKind) int {
	count := 0
	for _, finding := range f.records() {
		if finding.Kind == kind && !finding.IsReleased {
			count++
		}
	}
	return count
}

// probeDemand is the time within which a request with the trait must have come for a probe.
const probeDemand = time.Minute

// DueProbes returns the records of the traits whose requests still come here and that may be probed at
// the time.
func (f *Findings) DueProbes(now core.Instant, wall time.Time) []Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	var due []Finding
	for trait, finding := range f.records() {
		at, ok := f.refusedAt[trait]
		if ok && !finding.IsReleased && now.Sub(at) <= probeDemand && wall.Unix() >= finding.ProbeAt {
			due = append(due, finding)
		}
	}
	return due
}

// AllowProbe lets one request with the trait through.
func (f *Findings) AllowProbe(trait uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes[trait] = true
}
