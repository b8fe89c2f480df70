package digest

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/streamstart"
)

const (
	// lookupTimeout limits a lookup. Instances that are asked get the question again every
	// queryInterval, because datagrams may be lost and evidence may become recent enough.
	lookupTimeout = 150 * time.Millisecond
	queryInterval = 50 * time.Millisecond
	// joinTime is the time after the start of the process within which lookups without candidates
	// wait for some.
	joinTime = 10 * time.Second
	// minAnswers is the least capacity for answers: candidates may be added during a lookup.
	minAnswers = 32
)

// pendingQuery is a datagram of a lookup that may still be answered.
type pendingQuery struct {
	request uint64
	sentAt  core.Instant
	answers chan<- queryAnswer
}

// queryAnswer is the answer of an instance to a query.
type queryAnswer struct {
	streamAnswer
	from   string
	sentAt core.Instant
}

// lookup asks the candidates for the home of a request.
type lookup struct {
	streams    *streams
	service    core.Service
	hash       uint64
	arrived    core.Instant
	homes      *streamHomes
	candidates []streamstart.Peer
	answers    chan queryAnswer
	serials    []uint32
	// evidence holds the last answer of each instance, and recordFrom the first one with a
	// record.
	evidence   map[string]streamstart.Evidence
	recordFrom string
	// isEarly is set if there were no candidates after the start of the process. Members may be
	// incomplete then, so candidates are selected again with each question.
	isEarly bool
}

// StreamVersion returns the version at which the stream of a request began. It asks the homes
// of the request unless this instance relayed the stream.
func (n *Node) StreamVersion(ctx context.Context, service core.Service, request core.RequestID) (core.SoftwareVersion, bool) {
	s := n.streams
	if s.source == nil {
		return "", false
	}
	l := &lookup{
		streams: s, service: service, hash: streamstart.HashRequest(request), arrived: n.opts.Clock.Now(),
		evidence: map[string]streamstart.Evidence{},
	}
	l.loadCandidates()
	tag, result := l.run(ctx)
	var version core.SoftwareVersion
	if result.IsFound() {
		var seen bool
		if version, seen = l.resolve(ctx, tag); !seen {
			result = streamstart.NotFoundUnseen
		}
	}
	s.mu.Lock()
	s.lookups[result]++
	s.mu.Unlock()
	n.opts.Log.WithFields(log.Fields{
		"Request": request, "Service": service, "Result": string(result), "Version": version, "Asked": len(l.candidates),
		"Answers": len(l.evidence), "Peer": l.recordFrom, "TookMs": n.opts.Clock.Now().Sub(l.arrived).Milliseconds(),
	}).Info("StreamVersionLookedUp")
	return version, result.IsFound()
}

// resolve returns the version that a tag stands for. The view of the targets may be behind that of
// the instance that recorded it, so it waits for the rest of the lookup.
func (l *lookup) resolve(ctx context.Context, tag streamstart.Tag) (core.SoftwareVersion, bool) {
	for {
		l.streams.observe()
		if version, ok := l.streams.register.Version(l.service, tag); ok {
			return version, true
		}
		isOver := l.streams.node.opts.Clock.Now().Sub(l.arrived) >= lookupTimeout
		if isOver || !pause.For(ctx, minObserveInterval) {
			return "", false
		}
	}
}

// run asks until the version is known or the time is over.
func (l *lookup) run(ctx context.Context) (streamstart.Tag, streamstart.Result) {
	if tag, result := l.decide(); result == streamstart.FoundOwn {
		return tag, result
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if !l.awaitCandidates(ctx) {
		return l.decideAlone(ctx)
	}
	l.answers = make(chan queryAnswer, max(2*len(l.candidates), minAnswers))
	defer l.forget()
	l.ask()
	ticker := time.NewTicker(queryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return l.decide()
		case <-ticker.C:
			// All had two occasions to answer, so those that are silent are dead or cut off.
			if tag, result := l.decide(); len(l.serials) > 1 && result.IsFound() {
				return tag, result
			}
			l.ask()
			l.streams.requestConfirmation()
		case a := <-l.answers:
			l.add(a)
			tag, result := l.decide()
			hasAll := !l.isEarly && len(l.evidence) == len(l.candidates)
			if result == streamstart.FoundRecord || result == streamstart.FoundOwn || hasAll {
				return tag, result
			}
		}
	}
}

// loadCandidates selects the instances to ask among the current members.
func (l *lookup) loadCandidates() {
	l.homes = l.streams.homes.Load()
	l.candidates = l.homes.Candidates(l.hash)
}

// awaitCandidates waits for candidates after the start of the process. It returns false if there
// are none.
func (l *lookup) awaitCandidates(ctx context.Context) bool {
	for len(l.candidates) == 0 {
		l.isEarly = l.arrived.Sub(l.streams.startedAt) < joinTime
		if !l.isEarly || !pause.For(ctx, minObserveInterval) {
			return false
		}
		l.loadCandidates()
	}
	return true
}

// decideAlone decides without other instances. They may be missing because this one is cut off, so
// evidence of a single version needs a read of the targets.
func (l *lookup) decideAlone(ctx context.Context) (streamstart.Tag, streamstart.Result) {
	for {
		tag, result := l.decide()
		s := l.streams
		own := s.register.Evidence(s.node.opts.Clock.Now(), l.service, l.hash)
		if result.IsFound() || own.Kind != streamstart.EvidenceSingle {
			return tag, result
		}
		s.requestConfirmation()
		if !pause.For(ctx, minObserveInterval) {
			return l.decide()
		}
	}
}

// ask sends the question to all candidates.
func (l *lookup) ask() {
	s := l.streams
	if l.isEarly {
		l.loadCandidates()
	}
	addresses := make([]net.Addr, 0, len(l.candidates))
	for _, c := range l.candidates {
		addresses = append(addresses, l.homes.addresses[c.Address])
	}
	serial := s.node.serial.Add(1)
	s.mu.Lock()
	s.pending[serial] = pendingQuery{l.hash, s.node.opts.Clock.Now(), l.answers}
	s.mu.Unlock()
	l.serials = append(l.serials, serial)
	s.send(&packet{
		Kind: packetStreamQuery, Serial: serial,
		StreamQuery: &streamQuery{Service: l.service, Request: l.hash, IsRepeated: len(l.serials) > 1},
	}, addresses...)
}

// requestConfirmation requests a read of the targets in place of the answers that are missing.
func (s *streams) requestConfirmation() {
	select {
	case s.confirm <- struct{}{}:
	default:
	}
}

// forget ends the wait for answers.
func (l *lookup) forget() {
	l.streams.mu.Lock()
	defer l.streams.mu.Unlock()
	for _, serial := range l.serials {
		delete(l.streams.pending, serial)
	}
}

func (l *lookup) add(a queryAnswer) {
	if a.Kind == streamstart.EvidenceRecord && l.recordFrom == "" {
		l.recordFrom = a.from
	}
	l.evidence[a.from] = streamstart.Evidence{
		Kind: a.Kind, Tag: a.Tag, AsOf: a.sentAt.Add(-time.Duration(a.AgeMs) * time.Millisecond),
	}
}

func (l *lookup) decide() (streamstart.Tag, streamstart.Result) {
	s := l.streams
	s.observe()
	own := s.register.Evidence(s.node.opts.Clock.Now(), l.service, l.hash)
	answers := make([]streamstart.Evidence, 0, len(l.evidence))
	for _, e := range l.evidence {
		answers = append(answers, e)
	}
	isSufficient := !l.isEarly && l.homes.Suffice(l.candidates, func(p streamstart.Peer) bool {
		_, ok := l.evidence[p.Address]
		return ok
	})
	return streamstart.Decide(l.arrived, own, answers, isSufficient)
}

// answer answers the query of another instance.
func (s *streams) answer(p *packet, from net.Addr) {
	if s.source == nil {
		return
	}
	s.observe()
	now := s.node.opts.Clock.Now()
	e := s.register.Evidence(now, p.StreamQuery.Service, p.StreamQuery.Request)
	a := &streamAnswer{Kind: e.Kind, Tag: e.Tag, Request: p.StreamQuery.Request}
	if e.Kind == streamstart.EvidenceSingle {
		// Rounded up, so that the evidence doesn't seem more recent than it is.
		a.AgeMs = uint32(now.Sub(e.AsOf)/time.Millisecond) + 1
		if p.StreamQuery.IsRepeated {
			s.requestConfirmation() // the view of the one that asks may not cover enough time
		}
	}
	s.send(&packet{Kind: packetStreamAnswer, Serial: p.Serial, StreamAnswer: a}, from)
}

// handleAnswer passes an answer to the lookup that waits for it. Answers that exceed its buffer
// are dropped like lost datagrams. A late answer to an earlier process may have the serial of a
// query about another request.
func (s *streams) handleAnswer(p *packet, from net.Addr) {
	s.mu.Lock()
	q, ok := s.pending[p.Serial]
	s.mu.Unlock()
	if !ok || p.StreamAnswer.Request != q.request {
		return
	}
	select {
	case q.answers <- queryAnswer{*p.StreamAnswer, from.String(), q.sentAt}:
	default:
	}
}
