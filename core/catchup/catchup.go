// Package catchup decides when an instance takes the configuration or the list of targets
// from a peer instead of from the platform, which may refuse some instances and serve the
// others.
package catchup

import (
	"sync"
	"time"

	"gorseline/core"
)

// Subject is something that all instances follow.
type Subject uint8

// Subjects.
const (
	Configuration Subject = iota
	Targets
)

var subjectNames = [...]string{"Configuration", "Targets"}

// String returns the subject's name.
func (s Subject) String() string {
	if int(s) < len(subjectNames) {
		return subjectNames[s]
	}
	return "Unknown"
}

const (
	// patience is how long the platform gets to tell what a peer already knows. A change
	// reaches all instances within some 100 ms of each other.
	patience = 300 * time.Millisecond
	// spacing is the least time between two takings of a subject.
	spacing = 500 * time.Millisecond
	// lostFor is how long the own reads of the targets must have failed. Their version
	// grows with each renewal of an entry, so that a peer is ahead most of the time.
	lostFor = time.Second
)

// Tracker compares the own versions with those of peers. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	subjects [2]subject
}

type subject struct {
	version uint64
	// peer has the newest version heard of, known to be ahead since aheadAt.
	peer    string
	ahead   uint64
	aheadAt core.Instant
	// lostAt is when the own reads began to fail.
	lostAt core.Instant
	isLost bool
	nextAt core.Instant
}

// Pull is a taking that is due.
type Pull struct {
	Subject Subject
	Peer    string
	// Version is what the peer has at least, Own what this instance has.
	Version uint64
	Own     uint64
}

// New returns a tracker that knows nothing.
func New() *Tracker { return &Tracker{} }

// Have notes the version that this instance has.
func (t *Tracker) Have(s Subject, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := &t.subjects[s]
	own.version = max(own.version, version)
}

// Versions returns what this instance has.
func (t *Tracker) Versions() (configuration, targets uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.subjects[Configuration].version, t.subjects[Targets].version
}

// Heard notes the version that a peer has.
func (t *Tracker) Heard(now core.Instant, s Subject, peer string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := &t.subjects[s]
	if version <= own.version || version <= own.ahead && own.ahead > own.version {
		return
	}
	if own.ahead <= own.version {
		own.aheadAt = now
	}
	own.peer, own.ahead = peer, version
}

// Reachable notes whether the platform answered the latest read of a subject.
func (t *Tracker) Reachable(now core.Instant, s Subject, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := &t.subjects[s]
	if !ok && !own.isLost {
		own.lostAt = now
	}
	own.isLost = !ok
}

// Due returns the takings that should begin now. It is called about ten times a second.
func (t *Tracker) Due(now core.Instant) []Pull {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Pull
	for i := range t.subjects {
		own := &t.subjects[i]
		if own.ahead <= own.version || now < own.nextAt || now.Sub(own.aheadAt) < patience {
			continue
		}
		if Subject(i) == Targets && (!own.isLost || now.Sub(own.lostAt) < lostFor) {
			continue
		}
		own.nextAt = now.Add(spacing)
		due = append(due, Pull{Subject: Subject(i), Peer: own.peer, Version: own.ahead, Own: own.version})
	}
	return due
}

// Failed notes that a peer did not give what it has. Another peer is heard of again.
func (t *Tracker) Failed(p Pull) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if own := &t.subjects[p.Subject]; own.peer == p.Peer {
		own.peer, own.ahead = "", 0
	}
}
