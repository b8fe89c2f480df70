package membership

import (
	"maps"
	"slices"

	"gorseline/core"
)

// DelegatesOf returns up to three delegates of a data centre, which every
// instance with the same view computes alike.
func (p *Protocol) DelegatesOf(dc core.DataCentre) []Record { return p.view.delegates(dc) }

// IsDelegate reports whether this instance is a delegate of its data centre.
func (p *Protocol) IsDelegate() bool {
	return slices.ContainsFunc(p.DelegatesOf(p.self.DataCentre), func(r Record) bool { return r.ID == p.self.ID })
}

// IsExpectedDelegate reports whether this instance is among the delegates of its data centre, counting
// listed instances that are not yet members as live. Instances that start together so agree
// before they have found each other.
func (p *Protocol) IsExpectedDelegate() bool {
	before := 0
	count := func(id core.InstanceID) {
		if id != p.self.ID && byRank(id, p.self.ID) < 0 {
			before++
		}
	}
	for h := range p.view.all {
		if h.DataCentre == p.self.DataCentre && h.Status == StatusAlive {
			count(h.ID)
		}
	}
	for _, seed := range p.UnjoinedSeeds() {
		count(seed.ID)
	}
	return before < DelegateCount
}

// UnjoinedSeeds returns the listed instances of the own data centre that are not yet members.
func (p *Protocol) UnjoinedSeeds() []Record {
	var unmet []Record
	for id, seed := range p.seeds {
		if _, known := p.view.get(Record{ID: id}); !known && seed.DataCentre == p.self.DataCentre {
			unmet = append(unmet, seed)
		}
	}
	return unmet
}

// DataCentres returns the known data centres in order.
func (p *Protocol) DataCentres() []core.DataCentre {
	return slices.Sorted(maps.Keys(p.view.hashes))
}

// digests returns the digests that a delegate owes. The delegates divide the
// other data centres among themselves, so that each is asked once per interval.
func (p *Protocol) digests(now core.Instant) []Call {
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
		if to, ok := p.remote(dc); ok {
			calls = append(calls, p.digest(now, to, p.mismatched(now, dc)))
		}
	}
	return calls
}

// remote chooses whom to ask in another data centre: a delegate, or any member
// after a failure, because all three may have gone together.
func (p *Protocol) remote(dc core.DataCentre) (Record, bool) {
	if delegates := p.DelegatesOf(dc); p.failures[dc] == 0 && len(delegates) > 0 {
		return delegates[p.rng.IntN(len(delegates))], true
	}
	return p.view.random(p.rng, func(r Record) bool { return r.DataCentre == dc && r.Status != StatusDead })
}

func (p *Protocol) digest(now core.Instant, to Record, want bool) Call {
	m := p.message(now, to)
	m.Hashes, m.Want = maps.Clone(p.view.hashes), want
	return Call{Kind: CallDigest, To: to, Message: m, Timeout: DigestTimeout, epoch: p.epoch}
}

// HandleDigest answers a digest.
func (p *Protocol) HandleDigest(now core.Instant, m Message) Message {
	p.receive(now, m)
	reply := p.reply(now, m.From)
	reply.Hashes = maps.Clone(p.view.hashes)
	if !m.Want {
		return reply
	}
	for _, dc := range p.DataCentres() {
		if m.Hashes[dc] == p.view.hashes[dc] {
			continue
		}
		reply.Members = append(reply.Members, p.view.in(dc)...)
		reply.Complete = reply.Complete || dc == p.self.DataCentre && p.isSettled(now)
	}
	return reply
}

func (p *Protocol) digestReplied(now core.Instant, reply Message) {
	isNew := now.Sub(p.began) < joinTime
	for _, r := range reply.Members {
		if p.accept(now, r) && !isNew {
			p.spread.add(now, r)
		}
	}
	// A settled member knows its own data centre. What it does not list has gone
	// while the data centre could not be reached.
	if home := reply.From.DataCentre; home != p.self.DataCentre && reply.Complete {
		p.dropUnlisted(now, home, reply)
	}
	for dc, hash := range reply.Hashes {
		if hash == p.view.hashes[dc] {
			delete(p.mismatch, dc)
		} else if _, ok := p.mismatch[dc]; !ok {
			p.mismatch[dc] = now
		}
	}
}

func (p *Protocol) dropUnlisted(now core.Instant, dc core.DataCentre, reply Message) {
	listed := map[core.InstanceID]bool{reply.From.ID: true}
	for _, r := range reply.Members {
		listed[r.ID] = true
	}
	for _, r := range p.view.in(dc) {
		if !listed[r.ID] && now.Sub(p.view.changed(r.ID)) > mismatchPatience {
			r.Status = StatusDead
			p.learn(now, r)
		}
	}
}

func (p *Protocol) digestFailed(now core.Instant, call Call) {
	dc := call.To.DataCentre
	if dc == p.self.DataCentre || p.view.countIn(dc) == 0 {
		return
	}
	p.failures[dc]++
	if p.failures[dc] < lostAfter || !p.IsDelegate() {
		return
	}
	lost, _ := p.view.get(Record{DataCentre: dc})
	lost.DataCentre, lost.Status = dc, StatusDead
	p.learn(now, lost)
}

// mismatched reports whether the records of a data centre have differed from a
// peer's for longer than a change takes to spread.
func (p *Protocol) mismatched(now core.Instant, dc core.DataCentre) bool {
	since, ok := p.mismatch[dc]
	return ok && now.Sub(since) > mismatchPatience
}

// wholeView stands for all data centres in the times of mismatches.
const wholeView = core.DataCentre("")

// compareViews asks for a comparison of records with a peer of the own data
// centre when the views have differed for too long.
func (p *Protocol) compareViews(now core.Instant, m Message) {
	if m.From.DataCentre != p.self.DataCentre {
		return
	}
	if m.View == p.view.hash() {
		delete(p.mismatch, wholeView)
		return
	}
	if _, ok := p.mismatch[wholeView]; !ok {
		p.mismatch[wholeView] = now
	}
	if p.mismatched(now, wholeView) {
		p.mismatch[wholeView] = now
		p.spread.compare = m.From
	}
}

// stranger returns an instance to contact that is not a live member: one to
// compare records with, a listed one or a dropped one.
func (p *Protocol) stranger() (Record, bool) {
	if r := p.spread.compare; r.ID != "" {
		p.spread.compare = Record{}
		return r, true
	}
	var candidates []Record
	for _, id := range slices.Sorted(maps.Keys(p.seeds)) {
		if r, ok := p.view.get(Record{ID: id}); !ok || r.Status == StatusDead {
			candidates = append(candidates, p.seeds[id])
		}
	}
	candidates = append(candidates, p.view.dropped()...)
	if len(candidates) == 0 {
		return Record{}, false
	}
	return candidates[p.rng.IntN(len(candidates))], true
}
