package membership

import (
	"math/rand/v2"
	"time"

	"gorseline/core"
)

// Timing of the protocol. A member that stops responding is marked dead throughout its data
// centre after about 6 s: 1.6 s on average until another member probes it, 0.8 s for the
// direct and indirect probes, 3 s of suspicion, and the dissemination.
const (
	ProbeInterval    = time.Second
	ProbeTimeout     = 300 * time.Millisecond
	IndirectTimeout  = 500 * time.Millisecond
	SuspicionTimeout = 3 * time.Second
	DigestInterval   = 2 * time.Second
	DigestTimeout    = time.Second

	// indirectProbes is the number of members that are asked to repeat a failed probe.
	indirectProbes = 2
	// maxUrgentProbes bounds the extra probes of one tick; further ones are dropped.
	maxUrgentProbes = 8
	// DelegateCount is the number of delegates per data centre.
	DelegateCount = 3
	// maxUpdatesPerMessage bounds the piggybacked records: six of about 60 bytes keep a
	// message in one packet.
	maxUpdatesPerMessage = 6
	// maxDigestFailures is the number of consecutive failed digests after which a data
	// centre counts as lost: 6 s, as long as for a single member.
	maxDigestFailures = 3
	// mismatchTimeout is how long views may differ before records are compared; it covers
	// the dissemination of a change.
	mismatchTimeout = 10 * time.Second
	// tombstoneTTL is how long the record of a dead member is kept, so that late updates
	// do not revive the member.
	tombstoneTTL = 5 * time.Minute
	// rejoinInterval is the interval at which a listed or dead instance that is not a live
	// member is contacted, which heals partitions.
	rejoinInterval = 5 * time.Second
	// startTime is how long a new process compares its records, once per startInterval, with any peer
	// whose view differs: instances that start together are missing from the list that it has read.
	startTime     = 10 * time.Second
	startInterval = 500 * time.Millisecond
	// settleTime is how long a new process is not settled: it does not gossip the records
	// that it receives in digests, which are new only to itself, and does not report its
	// list of members as complete.
	settleTime = 20 * time.Second
	// maxTickGap is the gap between two ticks above which this process counts as paused.
	// Failures of probes from before a pause say nothing about their targets.
	maxTickGap = time.Second
)

// HeaderFunc returns the configuration fields of outgoing messages; ageMs is the age of the
// head in milliseconds.
type HeaderFunc func(now core.Instant) (applied, head core.Revision, ageMs uint32)

// Protocol is the membership state machine of one instance. It is not safe for concurrent
// use.
type Protocol struct {
	self      Record
	rng       *rand.Rand
	header    HeaderFunc
	changed   func(Record)
	view      view
	gossip    gossipQueue
	seeds     map[core.InstanceID]Record
	started   bool
	startedAt core.Instant

	// epoch counts the pauses of this process.
	epoch      uint64
	lastTick   core.Instant
	nextProbe  core.Instant
	nextDigest core.Instant
	nextRejoin core.Instant
	// round holds the members still to be probed in this round.
	round []Record
	// urgentTargets are the members to probe at the next tick; failures of these probes
	// are ignored.
	urgentTargets []Record
	// pending counts the outstanding indirect probes per target.
	pending map[core.InstanceID]int
	// failures counts consecutive failed digests per data centre.
	failures map[core.DataCentre]int
	// mismatchSince holds, per data centre, the time since which its records differ from
	// those of a peer. The key allDataCentres stands for the whole view.
	mismatchSince map[core.DataCentre]core.Instant
	// comparePeer is a peer to compare all records with; its ID is empty if there is none.
	comparePeer Record
}

// New returns the protocol of an instance that knows only itself. It calls changed, if that
// is not nil, for each record that changes.
func New(self Record, rng *rand.Rand, header HeaderFunc, changed func(Record)) *Protocol {
	if changed == nil {
		changed = func(Record) {}
	}
	p := &Protocol{
		self: self, rng: rng, header: header, changed: changed,
		view:          newView(self.DataCentre),
		seeds:         make(map[core.InstanceID]Record),
		pending:       make(map[core.InstanceID]int),
		failures:      make(map[core.DataCentre]int),
		mismatchSince: make(map[core.DataCentre]core.Instant),
	}
	p.view.put(0, self)
	return p
}

// Self returns the record of this instance.
func (p *Protocol) Self() Record { return p.self }

// SetSeeds replaces the seeds by the platform's list of instances. The list may be
// outdated, so its entries are only contacted, and become members when they reply.
func (p *Protocol) SetSeeds(list []core.ListedInstance) {
	clear(p.seeds)
	for _, i := range list {
		if i.ID != p.self.ID {
			p.seeds[i.ID] = Record{ID: i.ID, Address: i.Address, DataCentre: i.DataCentre}
		}
	}
	if p.IsJoining() {
		p.nextRejoin = 0
	}
}

// Tick returns the calls that are due. It is called about ten times a second.
func (p *Protocol) Tick(now core.Instant) []Call {
	if !p.started {
		p.start(now)
	}
	if gap := now.Sub(p.lastTick); gap > maxTickGap {
		p.epoch++
		clear(p.pending)
		p.view.extendSuspicions(gap)
	}
	p.lastTick = now
	p.expire(now)
	calls := p.urgentProbes(now)
	if now >= p.nextProbe {
		p.nextProbe = p.nextProbe.Add(ProbeInterval)
		if p.nextProbe < now {
			p.nextProbe = now.Add(ProbeInterval)
		}
		if target, ok := p.nextTarget(); ok {
			calls = append(calls, p.newProbe(now, target, false))
		}
		// A notification of a suspicion may be lost, so every member also probes a random
		// suspect.
		if target, ok := p.view.random(p.rng, p.isSuspect); ok {
			calls = append(calls, p.newProbe(now, target, true))
		}
	}
	if now >= p.nextDigest {
		p.nextDigest = now.Add(DigestInterval)
		calls = append(calls, p.dueDigests(now)...)
	}
	if now >= p.nextRejoin {
		if target, ok := p.rejoinTarget(); ok {
			call := p.newDigest(now, target, true)
			call.ignoreFailure = true
			calls = append(calls, call)
		}
		p.nextRejoin = now.Add(rejoinInterval)
		switch {
		case p.isStarting(now):
			p.nextRejoin = now.Add(startInterval)
		case p.IsJoining():
			p.nextRejoin = now.Add(ProbeInterval)
		}
	}
	return calls
}

// nextTarget returns a random member to probe. Each round covers all members in a random
// order, which bounds the time until an unresponsive one is probed.
func (p *Protocol) nextTarget() (Record, bool) {
	for len(p.round) > 0 {
		r, ok := p.view.get(p.round[0])
		p.round = p.round[1:]
		if ok && p.isPeer(r) {
			return r, true
		}
	}
	p.round = p.view.sample(p.rng, p.view.localCount(), p.isPeer)
	if len(p.round) == 0 {
		return Record{}, false
	}
	r := p.round[0]
	p.round = p.round[1:]
	return r, true
}

// start sets random times for the first probe and digest, so that instances that start
// together do not send them at once.
func (p *Protocol) start(now core.Instant) {
	p.started = true
	p.startedAt = now
	p.lastTick = now
	p.nextProbe = now.Add(time.Duration(p.rng.Int64N(int64(ProbeInterval))))
	p.nextDigest = now.Add(time.Duration(p.rng.Int64N(int64(DigestInterval))))
	p.nextRejoin = now
}

// isStarting reports whether this process has started so recently that other instances may be
// missing from the list that it has read.
func (p *Protocol) isStarting(now core.Instant) bool { return now.Sub(p.startedAt) < startTime }

// IsJoining reports whether more than a tenth of the listed instances have never been
// members of this view, as after a start of the whole fleet.
func (p *Protocol) IsJoining() bool {
	unknown := 0
	for id := range p.seeds {
		if _, ok := p.view.records[id]; !ok {
			unknown++
		}
	}
	return unknown*10 > len(p.seeds)
}

// isSettled reports whether this process has run for long enough to know all members of its
// data centre and agrees with its peers.
func (p *Protocol) isSettled(now core.Instant) bool {
	_, differs := p.mismatchSince[allDataCentres]
	return p.started && now.Sub(p.startedAt) > settleTime && !differs
}

// expire marks members as dead whose suspicion has timed out, and removes outdated records.
func (p *Protocol) expire(now core.Instant) {
	for _, r := range p.view.expired(now) {
		r.Status = StatusDead
		p.mergeAndGossip(now, r)
	}
	p.view.prune(now)
	p.gossip.prune(now)
}

// urgentProbes returns probes that notify suspected members of their suspicion and some
// peers of a refutation. Without them a lossy network would cause live members to be marked
// dead, because gossip takes about SuspicionTimeout to disseminate a refutation.
func (p *Protocol) urgentProbes(now core.Instant) []Call {
	var calls []Call
	for _, r := range p.urgentTargets[:min(len(p.urgentTargets), maxUrgentProbes)] {
		calls = append(calls, p.newProbe(now, r, true))
	}
	p.urgentTargets = nil
	return calls
}

// Leave announces that this instance is leaving and returns probes that disseminate it.
func (p *Protocol) Leave(now core.Instant) []Call {
	p.raiseIncarnation(now, p.self.Incarnation, StatusLeaving)
	var calls []Call
	for _, r := range p.view.sample(p.rng, DelegateCount, p.isPeer) {
		calls = append(calls, p.newProbe(now, r, true))
	}
	return calls
}

// raiseIncarnation raises the incarnation of this instance's record above seen and
// gossips the record.
func (p *Protocol) raiseIncarnation(now core.Instant, seen uint64, status Status) {
	p.self.Incarnation = max(p.self.Incarnation, seen) + 1
	p.self.Status = status
	p.view.put(now, p.self)
	p.gossip.add(now, p.self)
	p.changed(p.self)
}

// isPeer reports whether r is another member of the local data centre that can be probed.
func (p *Protocol) isPeer(r Record) bool {
	return r.ID != p.self.ID && r.DataCentre == p.self.DataCentre && r.Status != StatusDead
}

func (p *Protocol) isSuspect(r Record) bool {
	return r.DataCentre == p.self.DataCentre && r.Status == StatusSuspect
}

// mergeAndGossip merges a record into the view and gossips it if the view changes.
func (p *Protocol) mergeAndGossip(now core.Instant, r Record) {
	if p.merge(now, r) {
		p.gossip.add(now, r)
	}
}

// merge merges a record into the view and reports whether the record of another member
// changes. It refutes a record that overrides that of this instance.
func (p *Protocol) merge(now core.Instant, r Record) bool {
	if r.ID == p.self.ID {
		if r.overrides(p.self) {
			p.raiseIncarnation(now, r.Incarnation, p.self.Status)
			p.urgentTargets = append(p.urgentTargets, p.view.sample(p.rng, DelegateCount, p.isPeer)...)
		}
		return false
	}
	old, known := p.view.get(r)
	if known && !r.overrides(old) || !known && r.Status == StatusDead && !r.isDataCentre() {
		return false
	}
	p.view.put(now, r)
	p.changed(r)
	return true
}

// newMessage returns a message to a member with piggybacked records.
func (p *Protocol) newMessage(now core.Instant, to Record) Message {
	m := Message{From: p.self, View: p.view.hash()}
	m.Applied, m.Head, m.HeadAgeMs = p.header(now)
	isLocal := to.DataCentre == p.self.DataCentre
	m.Updates = p.gossip.take(maxUpdatesPerMessage, p.view.localCount(), isLocal)
	// A suspected or dead member gets its own record, so that it can refute it.
	if record, ok := p.view.get(to); ok && record.Status != StatusAlive && record.Status != StatusLeaving {
		m.Updates = append(m.Updates, record)
	}
	return m
}

// newReply returns the reply to a caller.
func (p *Protocol) newReply(now core.Instant, to Record) Message {
	m := p.newMessage(now, to)
	m.From.Address, m.From.DataCentre = "", ""
	return m
}

// receive processes the fields that all messages have in common.
func (p *Protocol) receive(now core.Instant, m Message) {
	p.mergeAndGossip(now, m.From)
	for _, r := range m.Updates {
		p.mergeAndGossip(now, r)
	}
	p.recordContact(now, m.From.DataCentre)
}

// recordContact records that a data centre is reachable.
func (p *Protocol) recordContact(now core.Instant, dc core.DataCentre) {
	delete(p.failures, dc)
	if lost, ok := p.view.get(Record{DataCentre: dc}); ok && lost.Status == StatusDead {
		p.mergeAndGossip(now, Record{DataCentre: dc, Incarnation: lost.Incarnation + 1})
	}
}
