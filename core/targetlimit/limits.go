// Package targetlimit keeps the request rates that targets state in their answers, over all
// instances together.
//
// A target that states a limit is used by as many instances as it takes requests a second, which
// rendezvous hashing selects without messages. Each of them has an equal share of the limit. The
// others don't use the target until the limit is over. The limits themselves are exchanged as facts,
// of which the one with the higher revision replaces the other.
package targetlimit

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/common/random"
)

const (
	// usedShare is the share of a limit that all instances together use. The rest covers instances
	// that don't agree on the members for a while.
	usedShare = 0.9
	// minRate is the least rate, in requests a second, at which a target is used. Otherwise nobody
	// would learn that a limit of 0 is over.
	minRate = 0.25
	// burstTime is the time over which an instance may save up its share; it may always save up one
	// request.
	burstTime = 250 * time.Millisecond
	// publishedChange is the least relative change of a rate that is published.
	publishedChange = 0.1
	// overMemory is how long the end of a limit is remembered, so that it replaces older facts.
	overMemory = 5 * time.Minute
	// maxTargets bounds the facts of targets that this instance doesn't know.
	maxTargets = 8192
)

// Fact states the limit of a target's process.
type Fact struct {
	Target core.TargetID `cbor:"1,keyasint"`
	// Started is the start time of the process, as in its registration.
	Started int64 `cbor:"2,keyasint,omitempty"`
	// Revision orders the facts about a process.
	Revision uint64 `cbor:"3,keyasint"`
	// Rate is the stated limit in requests a second over all instances. IsOver is set once the target
	// states none.
	Rate   float64 `cbor:"4,keyasint,omitempty"`
	IsOver bool    `cbor:"5,keyasint,omitempty"`
}

// replaces reports whether f replaces another fact about the target. Of two facts with the same
// revision the lower limit wins.
func (f Fact) replaces(other Fact) bool {
	limited := func(f Fact) int {
		if f.IsOver {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(f.Started, other.Started), cmp.Compare(f.Revision, other.Revision),
		cmp.Compare(limited(f), limited(other)), cmp.Compare(other.Rate, f.Rate)) > 0
}

// Limits holds the limits of targets and this instance's shares of them. It is safe for concurrent
// use.
type Limits struct {
	// count is the number of targets with a fact; without one, decisions take no lock.
	count atomic.Int64

	mu      sync.Mutex
	targets map[core.TargetID]*limit
	// self and peers are hashes of the IDs of this instance and of the others.
	self  uint64
	peers []uint64
	// instances is the number of instances that may be running.
	instances int
}

// limit is the state of one target.
type limit struct {
	Fact
	// learnedAt is when the target's answer or a peer last confirmed the fact.
	learnedAt core.Instant
	// rank is the rank of this instance among those that may use the target.
	rank int
	// tokens is the number of requests that may be sent now, as of filledAt. It is negative after
	// requests that were sent regardless.
	tokens   float64
	filledAt core.Instant
}

// New returns the limits at an instance.
func New(self core.InstanceID) *Limits {
	return &Limits{targets: map[core.TargetID]*limit{}, self: hashInstance(self), instances: 1}
}

func hashInstance(id core.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// SetPeers sets the other live instances.
func (l *Limits) SetPeers(ids []core.InstanceID) {
	peers := make([]uint64, len(ids))
	for i, id := range ids {
		peers[i] = hashInstance(id)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
	for _, t := range l.targets {
		t.rank = l.rankOf(t.Target)
	}
}

// SetInstances sets the number of instances that may be running, by which limits are divided if more
// than the live ones.
func (l *Limits) SetInstances(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = count
}

// rankOf returns the rank of this instance for a target by rendezvous hashing.
func (l *Limits) rankOf(id core.TargetID) int {
	hash := xxhash.Sum64String(string(id))
	own, rank := random.Mix(hash^l.self), 0
	for _, peer := range l.peers {
		if random.Mix(hash^peer) > own {
			rank++
		}
	}
	return rank
}

// share returns the rate at which this instance may use a target, in requests a second; 0 if it must
// not.
func (l *Limits) share(t *limit) float64 {
	rate := max(minRate, usedShare*t.Rate)
	instances := max(l.instances, len(l.peers)+1)
	users := max(1, int(min(t.Rate, float64(instances))))
	if t.rank >= users {
		return 0
	}
	return rate / float64(users)
}

// find returns the limit of a target's process, if it has one.
func (l *Limits) find(target *core.Registration) (*limit, bool) {
	t, ok := l.targets[target.ID]
	return t, ok && !t.IsOver && t.Started == target.Started
}

// fill adds the requests that may be sent since the last call.
func (l *Limits) fill(now core.Instant, t *limit) {
	share := l.share(t)
	t.tokens = min(t.tokens+share*now.Sub(t.filledAt).Seconds(), max(1, share*burstTime.Seconds()))
	t.filledAt = now
}

// Ready reports whether a request may be sent to a target now.
func (l *Limits) Ready(now core.Instant, target *core.Registration) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.find(target)
	return !ok || l.hasRoom(now, t)
}

// hasRoom reports whether a target's limit allows a request now.
func (l *Limits) hasRoom(now core.Instant, t *limit) bool {
	l.fill(now, t)
	return t.tokens >= 1 && l.share(t) > 0
}

// Take takes the permission to send one request to a target. It returns false if the limit of the
// target doesn't allow it.
func (l *Limits) Take(now core.Instant, target *core.Registration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.find(target)
	if !ok {
		return true
	}
	if !l.hasRoom(now, t) {
		return false
	}
	t.tokens--
	return true
}

// Charge counts a request that is sent to a target in any case, such as the release of a KV cache.
func (l *Limits) Charge(now core.Instant, target *core.Registration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.find(target); ok {
		l.fill(now, t)
		t.tokens--
	}
}

// Wait returns the time until this instance may send a request to a target. isLimited is false
// without a limit; never is set if other instances use the target.
func (l *Limits) Wait(now core.Instant, target *core.Registration) (wait time.Duration, isLimited, never bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.find(target)
	if !ok {
		return 0, false, false
	}
	l.fill(now, t)
	share := l.share(t)
	if share == 0 {
		return 0, true, true
	}
	return time.Duration(max(0, 1-t.tokens) / share * float64(time.Second)), true, false
}

// Statement is what an answer states about the limit of its target.
type Statement struct {
	// Rate is in requests a second. IsStated is false if the answer states no limit.
	Rate     float64
	IsStated bool
	// SentAt is when the request was sent. Answers overtake each other, so that one to an earlier
	// request doesn't end or raise a limit.
	SentAt core.Instant
}

// Observe records what the answer of a target states. ok is true if the fact is to be published.
func (l *Limits) Observe(now core.Instant, target *core.Registration, s Statement) (fact Fact, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, known := l.targets[target.ID]
	if known && t.Started != target.Started {
		known = false
	}
	switch {
	case !s.IsStated && (!known || t.IsOver || s.SentAt <= t.learnedAt):
		return Fact{}, false
	case !known && len(l.targets) >= maxTargets:
		return Fact{}, false
	case !known:
		return l.add(now, Fact{Target: target.ID, Started: target.Started, Revision: 1, Rate: s.Rate}), true
	case !s.IsStated:
		t.IsOver, t.Revision, t.learnedAt = true, t.Revision+1, now
		return t.Fact, true
	}
	wasOver, before := t.IsOver, t.Rate
	isNewer := s.SentAt > t.learnedAt
	t.learnedAt = now
	if wasOver || s.Rate < before || s.Rate > before && isNewer {
		l.fill(now, t)
		t.IsOver, t.Rate = false, s.Rate
	}
	change := t.Rate - before
	if wasOver || max(change, -change) > publishedChange*before {
		t.Revision++
		return t.Fact, true
	}
	return Fact{}, false
}

// add records a fact about a target of which none is known. The instance may send its first request
// once it has saved up for it, since others may have just been sent.
func (l *Limits) add(now core.Instant, f Fact) Fact {
	l.targets[f.Target] = &limit{Fact: f, learnedAt: now, filledAt: now, rank: l.rankOf(f.Target)}
	l.count.Store(int64(len(l.targets)))
	return f
}

// Merge records the fact of a peer. It returns false if the known one replaces it.
func (l *Limits) Merge(now core.Instant, f Fact) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[f.Target]
	if !ok {
		if len(l.targets) < maxTargets {
			l.add(now, f)
		}
		return len(l.targets) < maxTargets
	}
	if !f.replaces(t.Fact) {
		return false
	}
	l.fill(now, t)
	t.Fact, t.learnedAt = f, now
	return true
}

// Forget drops the fact about a target that has ended or has started again.
func (l *Limits) Forget(id core.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.targets, id)
	l.count.Store(int64(len(l.targets)))
}

// Facts returns the facts to tell others, ordered by target, and drops those that are long over.
func (l *Limits) Facts(now core.Instant) []Fact {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.targets, func(_ core.TargetID, t *limit) bool {
		return t.IsOver && now.Sub(t.learnedAt) > overMemory
	})
	l.count.Store(int64(len(l.targets)))
	facts := make([]Fact, 0, len(l.targets))
	for _, t := range l.targets {
		facts = append(facts, t.Fact)
	}
	slices.SortFunc(facts, func(a, b Fact) int { return cmp.Compare(a.Target, b.Target) })
	return facts
}

// State describes the limit of a target.
type State struct {
	Fact
	// Share is the rate at which this instance may use the target, in requests a second.
	Share float64
	Rank  int
}

// State returns the state of a target's limit, or false without one.
func (l *Limits) State(id core.TargetID) (State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[id]
	if !ok {
		return State{}, false
	}
	return State{t.Fact, l.share(t), t.rank}, true
}

// Count returns the number of targets with a limit.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, t := range l.targets {
		if !t.IsOver {
			count++
		}
	}
	return count
}
