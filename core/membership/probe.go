package membership

import "gorseline/core"

func (p *Protocol) newProbe(now core.Instant, to Record, ignoreFailure bool) Call {
	return Call{
		Kind: CallProbe, To: to, Message: p.newMessage(now, to), Timeout: ProbeTimeout,
		target: to.ID, epoch: p.epoch, ignoreFailure: ignoreFailure,
	}
}

// Report returns a probe that reports the applied revision to a member. Its failure does
// not lead to a suspicion.
func (p *Protocol) Report(now core.Instant, to Record) Call { return p.newProbe(now, to, true) }

// HandleProbe returns the reply to a probe.
func (p *Protocol) HandleProbe(now core.Instant, m Message) Message {
	p.receive(now, m)
	p.compareViews(now, m)
	return p.newReply(now, m.From)
}

// HandleIndirectProbe returns the probe to make on behalf of another member. The outcome is
// passed to AnswerIndirectProbe.
func (p *Protocol) HandleIndirectProbe(now core.Instant, m Message) Call {
	p.receive(now, m)
	target := Record{ID: m.Target, Address: m.Address, DataCentre: p.self.DataCentre}
	return p.newProbe(now, target, true)
}

// AnswerIndirectProbe returns the reply to an indirect probe.
func (p *Protocol) AnswerIndirectProbe(now core.Instant, m Message, reached bool) Message {
	reply := p.newReply(now, m.From)
	reply.Reached = reached
	return reply
}

// HandleReply processes the reply to a call.
func (p *Protocol) HandleReply(now core.Instant, call Call, reply Message) {
	reply.From.Address, reply.From.DataCentre = call.To.Address, call.To.DataCentre
	p.receive(now, reply)
	switch call.Kind {
	case CallProbe:
		p.compareViews(now, reply)
	case CallIndirectProbe:
		p.indirectDone(now, call, reply.Reached)
	case CallDigest:
		p.digestReplied(now, reply)
	}
}

// HandleFailure processes the failure of a call and returns follow-up calls.
func (p *Protocol) HandleFailure(now core.Instant, call Call) []Call {
	if call.ignoreFailure || call.epoch != p.epoch || now.Sub(p.lastTick) > maxTickGap {
		return nil
	}
	switch call.Kind {
	case CallProbe:
		return p.probeFailed(now, call)
	case CallIndirectProbe:
		p.indirectDone(now, call, false)
	case CallDigest:
		p.digestFailed(now, call)
	}
	return nil
}

func (p *Protocol) probeFailed(now core.Instant, call Call) []Call {
	if p.pending[call.target] > 0 {
		return nil
	}
	target, ok := p.view.get(call.To)
	if !ok {
		return nil
	}
	helpers := p.view.sample(p.rng, indirectProbes, func(r Record) bool {
		return p.isPeer(r) && r.ID != call.target && r.Status == StatusAlive
	})
	var calls []Call
	for _, helper := range helpers {
		m := p.newMessage(now, helper)
		m.Target, m.Address = target.ID, target.Address
		calls = append(calls, Call{
			Kind: CallIndirectProbe, To: helper, Message: m, Timeout: IndirectTimeout,
			target: target.ID, epoch: p.epoch,
		})
	}
	p.pending[target.ID] = len(calls)
	if len(calls) == 0 {
		p.suspect(now, target)
	}
	return calls
}

func (p *Protocol) indirectDone(now core.Instant, call Call, reached bool) {
	remaining, ok := p.pending[call.target]
	if !ok {
		return
	}
	if reached {
		delete(p.pending, call.target)
		return
	}
	if remaining > 1 {
		p.pending[call.target] = remaining - 1
		return
	}
	delete(p.pending, call.target)
	if target, ok := p.view.get(Record{ID: call.target}); ok {
		p.suspect(now, target)
	}
}

// suspect marks an unreachable member as suspected, or as dead if it was leaving.
func (p *Protocol) suspect(now core.Instant, r Record) {
	switch r.Status {
	case StatusAlive:
		r.Status = StatusSuspect
		p.urgentTargets = append(p.urgentTargets, r)
	case StatusLeaving:
		r.Status = StatusDead
	case StatusSuspect, StatusDead:
		return
	}
	p.mergeAndGossip(now, r)
}
