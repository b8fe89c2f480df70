package membership

import (
	"math/rand/v2"
	"time"

	"gorseline/core"
)

// Timing of the protocol. A member that falls silent is dropped everywhere in its
// data centre about 6 s later: 1.6 s on average until somebody probes it, 0.8 s
// for the probes, 3 s of suspicion and the spreading.
const (
	ProbeInterval    = time.Second
	ProbeTimeout     = 300 * time.Millisecond
	IndirectTimeout  = 500 * time.Millisecond
	SuspicionTimeout = 3 * time.Second
	DigestInterval   = 2 * time.Second
	DigestTimeout    = time.Second

	// indirectProbes is the number of members that repeat a failed probe.
	indirectProbes = 2
	// urgentLimit bounds the extra probes of one tick.
	urgentLimit = 8
	// DelegateCount is the number of delegates per data centre.
	DelegateCount = 3
	// updatesPerMessage bounds piggybacked records: six of about 60 bytes keep a
	// message in one packet.
	updatesPerMessage = 6
	// lostAfter is the number of digests in a row that fail before a data centre
	// counts as lost: 6 s, as long as for a single member.
	lostAfter = 3
	// mismatchPatience is how long views may differ before records are compared;
	// it covers the spreading of a change.
	mismatchPatience = 10 * time.Second
	// tombstone is how long a dropped member is remembered, so that old updates
	// do not bring it back.
	tombstone = 5 * time.Minute
	// rejoinInterval is how often a listed or dropped instance that is not a
	// member is contacted, which heals partitions.
	rejoinInterval = 5 * time.Second
	// joinTime is how long a new process is not settled: it does not spread what it
	// learns from lists, which is news only to itself, and does not answer for its
	// data centre.
	joinTime = 20 * time.Second
	// pauseLimit is the gap between two ticks that counts as a pause of this
	// process. Probes from before a pause say nothing about their targets.
	pauseLimit = time.Second
)

// HeaderFunc returns the configuration part of outgoing messages.
type HeaderFunc func(now core.Instant) (applied, head core.Revision, ageMs uint32)

// Protocol is the view of one instance. It is not safe for concurrent use.
type Protocol struct {
	self    Record
	rng     *rand.Rand
	header  HeaderFunc
	changed func(Record)
	view    view
	spread  spreader
	seeds   map[core.InstanceID]Record
	started bool
	began   core.Instant

	epoch      uint64
	lastTick   core.Instant
	nextProbe  core.Instant
	nextDigest core.Instant
	nextRejoin core.Instant
	// round lists the members still to be probed in this round.
	round []Record
	// urgent are quiet probes for the next tick.
	urgent []Record
	// pending counts the indirect probes under way per target.
	pending map[core.InstanceID]int
	// failures counts digests in a row that failed per data centre.
	failures map[core.DataCentre]int
	// mismatch is when the views of a data centre began to differ.
	mismatch map[core.DataCentre]core.Instant
}

// New returns the view of an instance that knows only itself. It calls changed, if
// that is not nil, for each record that changes.
func New(self Record, rng *rand.Rand, header HeaderFunc, changed func(Record)) *Protocol {
	if changed == nil {
		changed = func(Record) {}
	}
	p := &Protocol{
		self: self, rng: rng, header: header, changed: changed,
		view:     newView(self.DataCentre),
		seeds:    make(map[core.InstanceID]Record),
		pending:  make(map[core.InstanceID]int),
		failures: make(map[core.DataCentre]int),
		mismatch: make(map[core.DataCentre]core.Instant),
	}
	p.view.put(0, self)
	return p
}

// Self returns the own record.
func (p *Protocol) Self() Record { return p.self }

// SetSeeds adds instances from the platform's list. The list lags, so its entries are
// only contacted and become members when they answer.
func (p *Protocol) SetSeeds(list []core.ListedInstance) {
	clear(p.seeds)
	for _, i := range list {
		if i.ID != p.self.ID {
			p.seeds[i.ID] = Record{ID: i.ID, Address: i.Address, DataCentre: i.DataCentre}
		}
	}
}

// Tick returns the calls that are due. It is called about ten times a second.
func (p *Protocol) Tick(now core.Instant) []Call {
	if !p.started {
		p.start(now)
	}
	if gap := now.Sub(p.lastTick); gap > pauseLimit {
		p.epoch++
		clear(p.pending)
		p.view.extendSuspicions(gap)
	}
	p.lastTick = now
	p.expire(now)
	calls := p.notify(now)
	if now >= p.nextProbe {
		p.nextProbe = p.nextProbe.Add(ProbeInterval)
		if p.nextProbe < now {
			p.nextProbe = now.Add(ProbeInterval)
		}
		if target, ok := p.nextTarget(); ok {
			calls = append(calls, p.probe(now, target, false))
		}
		// One notification may be lost, so every member repeats it.
		if target, ok := p.view.random(p.rng, p.isSuspect); ok {
			calls = append(calls, p.probe(now, target, true))
		}
	}
	if now >= p.nextDigest {
		p.nextDigest = now.Add(DigestInterval)
		calls = append(calls, p.digests(now)...)
	}
	if now >= p.nextRejoin {
		if target, ok := p.stranger(); ok {
			call := p.digest(now, target, true)
			call.isQuiet = true
			calls = append(calls, call)
		}
		p.nextRejoin = now.Add(rejoinInterval)
		if p.isJoining() {
			p.nextRejoin = now.Add(ProbeInterval)
		}
	}
	return calls
}

// nextTarget returns a random member to probe. Each round goes through all members
// in a random order, which bounds the time until a silent one is probed.
func (p *Protocol) nextTarget() (Record, bool) {
	for len(p.round) > 0 {
		r, ok := p.view.get(p.round[0])
		p.round = p.round[1:]
		if ok && p.isPeer(r) {
			return r, true
		}
	}
	p.round = p.view.sample(p.rng, p.view.local(), p.isPeer)
	if len(p.round) == 0 {
		return Record{}, false
	}
	r := p.round[0]
	p.round = p.round[1:]
	return r, true
}

// start spreads the first probes and digests of instances that start together.
func (p *Protocol) start(now core.Instant) {
	p.started = true
	p.began = now
	p.lastTick = now
	p.nextProbe = now.Add(time.Duration(p.rng.Int64N(int64(ProbeInterval))))
	p.nextDigest = now.Add(time.Duration(p.rng.Int64N(int64(DigestInterval))))
	p.nextRejoin = now
}

// isJoining reports whether many listed instances have never been members of this
// view, as after a start of the whole fleet.
func (p *Protocol) isJoining() bool {
	unknown := 0
	for id := range p.seeds {
		if _, ok := p.view.records[id]; !ok {
			unknown++
		}
	}
	return unknown*10 > len(p.seeds)
}

// isSettled reports whether this process has been up for long enough to know its
// data centre, and agrees with its peers.
func (p *Protocol) isSettled(now core.Instant) bool {
	_, differs := p.mismatch[wholeView]
	return p.started && now.Sub(p.began) > joinTime && !differs
}

// expire drops members whose suspicion has lasted long enough.
func (p *Protocol) expire(now core.Instant) {
	for _, r := range p.view.expired(now) {
		r.Status = StatusDead
		p.learn(now, r)
	}
	p.view.prune(now)
	p.spread.prune(now)
}

// notify returns probes that carry a suspicion to its subject and a refutation to
// some peers. Without them a lossy network drops live members, because a
// refutation spreads about as slowly as a suspicion lasts.
func (p *Protocol) notify(now core.Instant) []Call {
	var calls []Call
	for _, r := range p.urgent[:min(len(p.urgent), urgentLimit)] {
		calls = append(calls, p.probe(now, r, true))
	}
	p.urgent = nil
	return calls
}

// Leave announces that this instance leaves and returns probes that spread it.
func (p *Protocol) Leave(now core.Instant) []Call {
	p.raise(now, p.self.Incarnation, StatusLeaving)
	var calls []Call
	for _, r := range p.view.sample(p.rng, DelegateCount, p.isPeer) {
		calls = append(calls, p.probe(now, r, true))
	}
	return calls
}

// raise gives the own record a new incarnation above seen.
func (p *Protocol) raise(now core.Instant, seen uint64, status Status) {
	p.self.Incarnation = max(p.self.Incarnation, seen) + 1
	p.self.Status = status
	p.view.put(now, p.self)
	p.spread.add(now, p.self)
	p.changed(p.self)
}

// isPeer selects members of the own data centre that can be probed.
func (p *Protocol) isPeer(r Record) bool {
	return r.ID != p.self.ID && r.DataCentre == p.self.DataCentre && r.Status != StatusDead
}

func (p *Protocol) isSuspect(r Record) bool {
	return r.DataCentre == p.self.DataCentre && r.Status == StatusSuspect
}

// learn takes in a record and spreads it if it is news.
func (p *Protocol) learn(now core.Instant, r Record) {
	if p.accept(now, r) {
		p.spread.add(now, r)
	}
}

// accept takes in a record and reports whether it is news about another member.
func (p *Protocol) accept(now core.Instant, r Record) bool {
	if r.ID == p.self.ID {
		if r.overrides(p.self) {
			p.raise(now, r.Incarnation, p.self.Status)
			p.urgent = append(p.urgent, p.view.sample(p.rng, DelegateCount, p.isPeer)...)
		}
		return false
	}
	old, known := p.view.get(r)
	if known && !r.overrides(old) || !known && r.Status == StatusDead && !r.isCentre() {
		return false
	}
	p.view.put(now, r)
	p.changed(r)
	return true
}

// message returns a message to a member with piggybacked records.
func (p *Protocol) message(now core.Instant, to Record) Message {
	m := Message{From: p.self, View: p.view.hash()}
	m.Applied, m.Head, m.HeadAgeMs = p.header(now)
	isLocal := to.DataCentre == p.self.DataCentre
	m.Updates = p.spread.take(updatesPerMessage, p.view.local(), isLocal)
	// A member that is not believed alive must learn it, so that it can refute.
	if own, ok := p.view.get(to); ok && own.Status != StatusAlive && own.Status != StatusLeaving {
		m.Updates = append(m.Updates, own)
	}
	return m
}

// reply returns a message to a caller.
func (p *Protocol) reply(now core.Instant, to Record) Message {
	m := p.message(now, to)
	m.From.Address, m.From.DataCentre = "", ""
	return m
}

// receive takes in what every message carries.
func (p *Protocol) receive(now core.Instant, m Message) {
	p.learn(now, m.From)
	for _, r := range m.Updates {
		p.learn(now, r)
	}
	p.contact(now, m.From.DataCentre)
}

// contact notes that a data centre can be reached.
func (p *Protocol) contact(now core.Instant, dc core.DataCentre) {
	delete(p.failures, dc)
	if lost, ok := p.view.get(Record{DataCentre: dc}); ok && lost.Status == StatusDead {
		p.learn(now, Record{DataCentre: dc, Incarnation: lost.Incarnation + 1})
	}
}
