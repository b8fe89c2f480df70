// Package catchup decides when an instance pulls the configuration or the list of targets
// from a peer instead of reading it from the platform. The platform may refuse some instances
// while it serves others.
package catchup

import (
	"slices"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Resource is a versioned resource that every instance keeps a copy of.
type Resource uint8

// Resources.
const (
	Configuration Resource = iota
	Targets
)

var resourceNames = [...]string{"Configuration", "Targets"}

// String returns the resource's name.
func (r Resource) String() string {
	if int(r) < len(resourceNames) {
		return resourceNames[r]
	}
	return "Unknown"
}

const (
	// platformGrace is how long this instance waits for a version from the platform after a
	// peer announced it. A change reaches all instances within about 100 ms of each other.
	platformGrace = 300 * time.Millisecond
	// pullInterval is the minimum time between two pulls of a resource.
	pullInterval = 500 * time.Millisecond
	// followerPullInterval is the same for a follower, which receives all changes by pulls.
	followerPullInterval = 100 * time.Millisecond
	// ReaderTimeout is how long a follower relies on the last announcement of a reader. If
	// all readers crash, a change reaches the follower within this time plus one read.
	ReaderTimeout = 1200 * time.Millisecond
	// readValidity is how long a successful read of the platform counts as recent.
	readValidity = 2 * time.Second
	// maxReadTime bounds a read, which may wait for a change. The answer of a longer one, such as of a
	// process that stood still, isn't recent.
	maxReadTime = 2500 * time.Millisecond
	// configurationSlack is how much older than the targets the configuration may be. It changes rarely,
	// so that its reads wait long.
	configurationSlack = 3500 * time.Millisecond
	// targetsFailureTime is how long this instance's reads of the targets must have failed
	// before it pulls them. The version of the targets grows with each renewal of an entry, so
	// some peer is ahead most of the time.
	targetsFailureTime = time.Second
)

// maxPeers limits the peers that are stored for a version.
const maxPeers = 8

// Tracker compares the versions of this instance with those of its peers. A reader reads the
// platform itself; a follower relies on readers and pulls from peers. Tracker is safe for
// concurrent use.
type Tracker struct {
	random    *random.Source
	mu        sync.Mutex
	resources [2]resourceState
	// isFollower is set while other instances read the platform for this one.
	isFollower bool
	// hasReader is set if readerSeenAt, the time of the last announcement of a reader, is valid.
	hasReader    bool
	readerSeenAt core.Instant
	// announced is the oldest announcement of a reader whose versions this instance doesn't
	// have yet. confirmedAt is the time of the oldest read that the last announcement may rest on
	// whose versions it has, valid if isConfirmed.
	announced   announcement
	isConfirmed bool
	confirmedAt core.Instant
	// stallDetector is guarded by mu.
	stallDetector
}

// announcement holds the versions that a reader with recent reads announced at a time.
type announcement struct {
	isSet    bool
	at       core.Instant
	versions [2]uint64
}

type resourceState struct {
	// version is the version of this instance.
	version uint64
	// peers are the peers that announced peerVersion, the newest version announced. This
	// instance has been behind its peers since behindSince.
	peers       []string
	peerVersion uint64
	behindSince core.Instant
	// isFailing is set if the last read of the platform failed; failingSince is the time of
	// the first failure after a success.
	isFailing    bool
	failingSince core.Instant
	// hasRead is set if readAt is valid: the time at which the last successful read began. Later changes
	// may be missing in its answer, whenever that arrives.
	hasRead bool
	readAt  core.Instant
	// isAnswered is set if answeredAt, the time of the last answer within maxReadTime, is valid.
	isAnswered bool
	answeredAt core.Instant
	// nextPullAt is the earliest time of the next pull.
	nextPullAt core.Instant
}

// Pull is a request to fetch a resource from a peer.
type Pull struct {
	Resource Resource
	Peer     string
	// PeerVersion is the version that the peer announced, which may be newer by now;
	// OwnVersion is the version of this instance.
	PeerVersion uint64
	OwnVersion  uint64
}

// New returns a tracker without versions and peers.
func New(source *random.Source) *Tracker { return &Tracker{random: source} }

// SetVersion records the version that this instance has. Lower versions are ignored.
func (t *Tracker) SetVersion(r Resource, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := &t.resources[r]
	state.version = max(state.version, version)
	t.confirmAnnounced()
}

// Versions returns the versions that this instance has.
func (t *Tracker) Versions() (configuration, targets uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resources[Configuration].version, t.resources[Targets].version
}

// ObservePeerVersion records the version that a peer announced, if it is newer than that of
// this instance and none of the peers has announced a newer one.
func (t *Tracker) ObservePeerVersion(now core.Instant, r Resource, peer string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := &t.resources[r]
	if version <= state.version || version < state.peerVersion {
		return
	}
	if state.peerVersion <= state.version {
		state.behindSince = now
	}
	if version > state.peerVersion {
		state.peers, state.peerVersion = nil, version
	}
	if len(state.peers) < maxPeers && !slices.Contains(state.peers, peer) {
		state.peers = append(state.peers, peer)
	}
}

// RecordRead records whether the latest read of a resource from the platform succeeded. began is a time
// before the call was sent.
func (t *Tracker) RecordRead(began, now core.Instant, r Resource, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := &t.resources[r]
	if !ok && !state.isFailing {
		state.failingSince = now
	}
	state.isFailing = !ok
	if !ok {
		return
	}
	if !state.hasRead || began > state.readAt {
		state.hasRead, state.readAt = true, began
	}
	if now.Sub(began) <= maxReadTime {
		state.isAnswered, state.answeredAt = true, now
	}
}

// ReadAge returns the age of the last read of the targets. It is meaningful if HasRecentReads.
func (t *Tracker) ReadAge(now core.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.resources[Targets].readAt)
}

// HasRecentReads reports whether the latest reads of all resources succeeded and are recent.
func (t *Tracker) HasRecentReads(now core.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.resources {
		state := &t.resources[i]
		if state.isFailing || !state.isAnswered || now.Sub(state.answeredAt) > readValidity {
			return false
		}
	}
	return true
}

// SetFollower sets whether this instance is a follower.
func (t *Tracker) SetFollower(isFollower bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isFollower = isFollower
}

// ObserveReader records an announcement of a reader.
func (t *Tracker) ObserveReader(now core.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasReader, t.readerSeenAt = true, now
}

// ObserveReaderVersions records the versions that a reader with recent reads announced. age is the age of
// its last read of the targets, or 0 if it doesn't state that.
func (t *Tracker) ObserveReaderVersions(now core.Instant, age time.Duration, configuration, targets uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	if age == 0 {
		age = readValidity + maxReadTime
	}
	if !t.announced.isSet {
		t.announced = announcement{true, t.arrivedAfter(now).Add(-age), [...]uint64{configuration, targets}}
	}
	t.confirmAnnounced()
}

// confirmAnnounced ends the wait for the announced versions once this instance has them. The
// lock must be held.
func (t *Tracker) confirmAnnounced() {
	if !t.announced.isSet {
		return
	}
	for i := range t.resources {
		if t.resources[i].version < t.announced.versions[i] {
			return
		}
	}
	t.isConfirmed, t.confirmedAt = true, t.announced.at
	t.announced.isSet = false
}

// ConfirmTargets records that the targets of this instance were complete at a time.
func (t *Tracker) ConfirmTargets(at core.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := &t.resources[Targets]
	if !state.hasRead || at > state.readAt {
		state.hasRead, state.readAt = true, at
	}
}

// CurrentAt returns the last time at which the targets of this instance are known to have been
// complete, from its own reads or from announcements of readers whose versions it has. The
// configuration may be up to configurationSlack older. It returns false if there is no such time.
func (t *Tracker) CurrentAt() (core.Instant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets, hasTargets := t.currentAt(Targets)
	configuration, hasConfiguration := t.currentAt(Configuration)
	return min(targets, configuration.Add(configurationSlack)), hasTargets && hasConfiguration
}

// currentAt returns the last time at which a resource is known to have been complete. The lock
// must be held.
func (t *Tracker) currentAt(r Resource) (core.Instant, bool) {
	state := &t.resources[r]
	switch {
	case !state.hasRead:
		return t.confirmedAt, t.isConfirmed
	case !t.isConfirmed:
		return state.readAt, true
	}
	return max(state.readAt, t.confirmedAt), true
}

// MustRead reports whether this instance has to read the platform itself: it is not a follower,
// lacks a resource, or has received no announcement of a reader for ReaderTimeout.
func (t *Tracker) MustRead(now core.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.reliesOnReaders(now) {
		return true
	}
	return t.resources[Configuration].version == 0 || t.resources[Targets].version == 0
}

// reliesOnReaders reports whether readers keep this instance up to date. The lock must be
// held.
func (t *Tracker) reliesOnReaders(now core.Instant) bool {
	return t.isFollower && t.hasReader && now.Sub(t.readerSeenAt) < ReaderTimeout
}

// DuePulls returns the pulls that should start now. It is called about ten times a second.
func (t *Tracker) DuePulls(now core.Instant) []Pull {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	var due []Pull
	for i := range t.resources {
		state := &t.resources[i]
		if state.peerVersion <= state.version || len(state.peers) == 0 || now < state.nextPullAt {
			continue
		}
		readsFail := state.isFailing && now.Sub(state.failingSince) >= targetsFailureTime
		if !t.reliesOnReaders(now) &&
			(now.Sub(state.behindSince) < platformGrace || Resource(i) == Targets && !readsFail) {
			continue
		}
		state.nextPullAt = now.Add(pullInterval)
		if t.reliesOnReaders(now) {
			state.nextPullAt = now.Add(followerPullInterval)
		}
		// A random peer spreads the pulls of all followers over the peers.
		peer := state.peers[t.random.IntN(len(state.peers))]
		due = append(due, Pull{
			Resource: Resource(i), Peer: peer, PeerVersion: state.peerVersion, OwnVersion: state.version,
		})
	}
	return due
}

// PullFailed records that a pull failed. The peer is not used again until it announces its
// version. A follower reads the platform itself until the next announcement of a reader.
func (t *Tracker) PullFailed(p Pull) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasReader = false
	state := &t.resources[p.Resource]
	state.peers = slices.DeleteFunc(state.peers, func(peer string) bool { return peer == p.Peer })
	if len(state.peers) == 0 {
		state.peerVersion = 0
	}
}
