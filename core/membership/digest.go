package membership

import (
	"maps"
	"slices"

	"gorseline/core"
)

// DelegatesOf returns up to DelegateCount delegates of a data centre. All instances with the same
// view select the same delegates.
func (p *Protocol) DelegatesOf(dc core.DataCentre) []Record { return p.view.delegates(dc) }

// IsDelegate reports whether this instance is a delegate of its data centre.
func (p *Protocol) IsDelegate() bool {
	return slices.ContainsFunc(p.DelegatesOf(p.self.DataCentre), func(r Record) bool { return r.ID == p.self.ID })
}

// IsExpectedDelegate reports whether this instance is a delegate of its data centre if
// listed instances that are not yet members count as live. Instances that start together
// therefore select the same delegates before they discover each other.
func (p *Protocol) IsExpectedDelegate() bool {
	before := 0
	count := func(id core.InstanceID) {
		if id != p.self.ID && compareRank(id, p.self.ID) < 0 {
			before++
		}
	}
	for r := range p.view.all {
		if r.DataCentre == p.self.DataCentre && r.Status == StatusAlive {
			count(r.ID)
		}
	}
	for _, seed := range p.UnjoinedSeeds() {
		count(seed.ID)
	}
	return before < DelegateCount
}

// UnjoinedSeeds returns the listed instances of the local data centre that are not yet
// members.
func (p *Protocol) UnjoinedSeeds() []Record {
	var unjoined []Record
	for id, seed := range p.seeds {
		if _, known := p.view.get(Record{ID: id}); !known && seed.DataCentre == p.self.DataCentre {
			unjoined = append(unjoined, seed)
		}
	}
	return unjoined
}

// DataCentres returns the known data centres, sorted by name.
func (p *Protocol) DataCentres() []core.DataCentre {
	return slices.Sorted(maps.Keys(p.view.hashes))
}

// dueDigests returns the digests that a delegate sends per interval, and none on other
// instances. The delegates partition the other data centres, so that each is contacted once
// per interval.
func (p *Protocol) dueDigests(now core.Instant) []Call {
	rank := slices.IndexFunc(p.DelegatesOf(p.self.DataCentre), func(r Record) bool { return r.ID == p.self.ID })
	if rank < 0 {
		return nil
	}
	var calls []Call
	count := len(p.DelegatesOf(p.self.DataCentre))
	for i, dc := range p.DataCentres() {
		if dc == p.self.DataCentre || i%count != rank {
			continue
		}
		if to, ok := p.digestTarget(dc); ok {
			calls = append(calls, p.newDigest(now, to, p.hasPersistentMismatch(now, dc)))
		}
	}
	return calls
}

// digestTarget selects a member of another data centre to send a digest to: a delegate or,
// after a failure, any member, because all three delegates may have failed together.
func (p *Protocol) digestTarget(dc core.DataCentre) (Record, bool) {
	if delegates := p.DelegatesOf(dc); p.failures[dc] == 0 && len(delegates) > 0 {
		return delegates[p.rng.IntN(len(delegates))], true
	}
	return p.view.random(p.rng, func(r Record) bool { return r.DataCentre == dc && r.Status != StatusDead })
}

func (p *Protocol) newDigest(now core.Instant, to Record, wantRecords bool) Call {
	m := p.newMessage(now, to)
	m.Hashes, m.Want = maps.Clone(p.view.hashes), wantRecords
	return Call{Kind: CallDigest, To: to, Message: m, Timeout: DigestTimeout, epoch: p.epoch}
}

// HandleDigest returns the reply to a digest.
func (p *Protocol) HandleDigest(now core.Instant, m Message) Message {
	p.receive(now, m)
	reply := p.newReply(now, m.From)
	reply.Hashes = maps.Clone(p.view.hashes)
	if !m.Want {
		return reply
	}
	for _, dc := range p.DataCentres() {
		if m.Hashes[dc] == p.view.hashes[dc] {
			continue
		}
		reply.Members = append(reply.Members, p.view.membersOf(dc)...)
		reply.Complete = reply.Complete || dc == p.self.DataCentre && p.isSettled(now)
	}
	return reply
}

func (p *Protocol) digestReplied(now core.Instant, reply Message) {
	isStarting := now.Sub(p.startedAt) < settleTime
	for _, r := range reply.Members {
		if p.merge(now, r) && !isStarting {
			p.gossip.add(now, r)
		}
	}
	// A settled member knows all members of its own data centre. Members that it does not
	// list have left while the data centre was unreachable.
	if dc := reply.From.DataCentre; dc != p.self.DataCentre && reply.Complete {
		p.removeUnlisted(now, dc, reply)
	}
	for dc, hash := range reply.Hashes {
		if hash == p.view.hashes[dc] {
			delete(p.mismatchSince, dc)
		} else if _, ok := p.mismatchSince[dc]; !ok {
			p.mismatchSince[dc] = now
		}
	}
}

func (p *Protocol) removeUnlisted(now core.Instant, dc core.DataCentre, reply Message) {
	listed := map[core.InstanceID]bool{reply.From.ID: true}
	for _, r := range reply.Members {
		listed[r.ID] = true
	}
	for _, r := range p.view.membersOf(dc) {
		if !listed[r.ID] && now.Sub(p.view.lastChange(r.ID)) > mismatchTimeout {
			r.Status = StatusDead
			p.mergeAndGossip(now, r)
		}
	}
}

func (p *Protocol) digestFailed(now core.Instant, call Call) {
	dc := call.To.DataCentre
	if dc == p.self.DataCentre || p.view.countIn(dc) == 0 {
		return
	}
	p.failures[dc]++
	if p.failures[dc] < maxDigestFailures || !p.IsDelegate() {
		return
	}
	lost, _ := p.view.get(Record{DataCentre: dc})
	lost.DataCentre, lost.Status = dc, StatusDead
	p.mergeAndGossip(now, lost)
}

// hasPersistentMismatch reports whether the records of a data centre have differed from
// those of a peer for longer than a change takes to disseminate.
func (p *Protocol) hasPersistentMismatch(now core.Instant, dc core.DataCentre) bool {
	since, ok := p.mismatchSince[dc]
	return ok && now.Sub(since) > mismatchTimeout
}

// allDataCentres is the key in mismatchSince of the whole view.
const allDataCentres = core.DataCentre("")

// compareViews schedules a comparison of records with a peer of the local data centre if the
// views have differed for longer than a change takes to disseminate, or if this process has just
// started.
func (p *Protocol) compareViews(now core.Instant, m Message) {
	if m.From.DataCentre != p.self.DataCentre {
		return
	}
	if m.View == p.view.hash() {
		delete(p.mismatchSince, allDataCentres)
		return
	}
	if _, ok := p.mismatchSince[allDataCentres]; !ok {
		p.mismatchSince[allDataCentres] = now
	}
	if p.isStarting(now) || p.hasPersistentMismatch(now, allDataCentres) {
		p.mismatchSince[allDataCentres] = now
		p.comparePeer = m.From
	}
}

// rejoinTarget returns an instance that is contacted to repair the view: the peer to
// compare records with if there is one, and otherwise a random listed or dead instance that
// is not a live member.
func (p *Protocol) rejoinTarget() (Record, bool) {
	if r := p.comparePeer; r.ID != "" {
		p.comparePeer = Record{}
		return r, true
	}
	var candidates []Record
	for _, id := range slices.Sorted(maps.Keys(p.seeds)) {
		if r, ok := p.view.get(Record{ID: id}); !ok || r.Status == StatusDead {
			candidates = append(candidates, p.seeds[id])
		}
	}
	candidates = append(candidates, p.view.dead()...)
	if len(candidates) == 0 {
		return Record{}, false
	}
	return candidates[p.rng.IntN(len(candidates))], true
}
