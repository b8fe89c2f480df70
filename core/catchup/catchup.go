// Package catchup decides when an instance takes the configuration or the list of targets
// from a peer instead of from the platform, which may refuse some instances and serve the
// others.
package catchup

import (
	"slices"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Resource is something that all instances follow.
type Resource uint8

// Subjects.
const (
	Configuration Resource = iota
	Targets
)

var subjectNames = [...]string{"Configuration", "Targets"}

// String returns the subject's name.
func (s Resource) String() string {
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
	// followSpacing is the same for a follower, which learns all changes this way.
	followSpacing = 100 * time.Millisecond
	// ReaderTimeout is how long a follower relies on a reader's word. A change then reaches
	// it within this time and one read, also when the readers have just died.
	ReaderTimeout = 1200 * time.Millisecond
	// readFor is how long a read that succeeded makes an instance's word good.
	readFor = 2 * time.Second
	// lostFor is how long the own reads of the targets must have failed. Their version
	// grows with each renewal of an entry, so that a peer is ahead most of the time.
	lostFor = time.Second
)

// maximumPeers bounds the peers that are remembered for a version.
const maximumPeers = 8

// Tracker compares the own versions with those of peers. It is safe for concurrent use.
type Tracker struct {
	random   *random.Source
	mu       sync.Mutex
	subjects [2]subject
	// follows is set while others read the platform for this instance.
	follows bool
	// confirmedAt is when a reader was last heard of.
	confirmedAt core.Instant
	isConfirmed bool
}

type subject struct {
	version uint64
	// peers have the newest version heard of; this instance is behind since aheadAt.
	peers   []string
	ahead   uint64
	aheadAt core.Instant
	// lostAt is when the own reads began to fail.
	lostAt core.Instant
	isLost bool
	readAt core.Instant
	isRead bool
	nextAt core.Instant
}

// Pull is a taking that is due.
type Pull struct {
	Resource Resource
	Peer     string
	// PeerVersion is what the peer has at least, OwnVersion what this instance has.
	PeerVersion uint64
	OwnVersion  uint64
}

// New returns a tracker that knows nothing.
func New(source *random.Source) *Tracker { return &Tracker{random: source} }

// SetVersion notes the version that this instance has.
func (t *Tracker) SetVersion(s Resource, version uint64) {
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

// ObservePeerVersion notes the version that a peer has.
func (t *Tracker) ObservePeerVersion(now core.Instant, s Resource, peer string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := &t.subjects[s]
	if version <= own.version || version < own.ahead {
		return
	}
	if own.ahead <= own.version {
		own.aheadAt = now
	}
	if version > own.ahead {
		own.peers, own.ahead = nil, version
	}
	if len(own.peers) < maximumPeers && !slices.Contains(own.peers, peer) {
		own.peers = append(own.peers, peer)
	}
}

// RecordRead notes whether the platform answered the latest read of a subject.
func (t *Tracker) RecordRead(now core.Instant, s Resource, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := &t.subjects[s]
	if !ok && !own.isLost {
		own.lostAt = now
	}
	own.isLost = !ok
	if ok {
		own.isRead, own.readAt = true, now
	}
}

// HasRecentReads reports whether this instance has read both subjects just now.
func (t *Tracker) HasRecentReads(now core.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.subjects {
		if own := &t.subjects[i]; own.isLost || !own.isRead || now.Sub(own.readAt) > readFor {
			return false
		}
	}
	return true
}

// SetFollower says whether this instance relies on readers.
func (t *Tracker) SetFollower(follows bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.follows = follows
}

// ObserveReader notes that a reader was heard of.
func (t *Tracker) ObserveReader(now core.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isConfirmed, t.confirmedAt = true, now
}

// MustRead reports whether this instance has to read the platform itself: it is a reader,
// has read nothing yet, or has heard of no reader for a while.
func (t *Tracker) MustRead(now core.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.relies(now) {
		return true
	}
	return t.subjects[Configuration].version == 0 || t.subjects[Targets].version == 0
}

// relies reports whether readers keep this instance up to date. The lock must be held.
func (t *Tracker) relies(now core.Instant) bool {
	return t.follows && t.isConfirmed && now.Sub(t.confirmedAt) < ReaderTimeout
}

// DuePulls returns the takings that should begin now. It is called about ten times a second.
func (t *Tracker) DuePulls(now core.Instant) []Pull {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Pull
	for i := range t.subjects {
		own := &t.subjects[i]
		if own.ahead <= own.version || len(own.peers) == 0 || now < own.nextAt {
			continue
		}
		isLost := own.isLost && now.Sub(own.lostAt) >= lostFor
		if !t.relies(now) && (now.Sub(own.aheadAt) < patience || Resource(i) == Targets && !isLost) {
			continue
		}
		own.nextAt = now.Add(spacing)
		if t.relies(now) {
			own.nextAt = now.Add(followSpacing)
		}
		// Followers of one reader must not all ask it at once.
		peer := own.peers[t.random.Below(len(own.peers))]
		due = append(due, Pull{Resource: Resource(i), Peer: peer, PeerVersion: own.ahead, OwnVersion: own.version})
	}
	return due
}

// PullFailed notes that a peer did not give what it has. A follower then reads the platform
// until a reader is heard of again.
func (t *Tracker) PullFailed(p Pull) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isConfirmed = false
	own := &t.subjects[p.Resource]
	own.peers = slices.DeleteFunc(own.peers, func(peer string) bool { return peer == p.Peer })
	if len(own.peers) == 0 {
		own.ahead = 0
	}
}
