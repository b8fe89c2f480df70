package admission

import (
	"time"

	"gorseline/core"
)

// group is the state of one model or service.
type group struct {
	inFlight int
	// urgentInFlight counts the urgent ones among them.
	urgentInFlight int
	// held is the work of the requests in flight, in tokens of KV memory.
	held    int
	limit   float64
	members map[core.Organisation]*member
	waits   calibration

	// holdUntil is when a lowered limit may fall again; earlier requests still answer
	// late until then.
	holdUntil core.Instant

	// windowEnds is when the counts below are judged.
	windowEnds   core.Instant
	peak         int
	answers      int
	late         int
	urgent       int
	urgentLate   int
	weight       float64
	weightBefore float64
	sweepAt      core.Instant
}

// member is an organisation's part of a group.
type member struct {
	inFlight int
	held     int
	lastSeen core.Instant
}

func newGroup(limit float64) *group {
	return &group{
		limit: limit, members: make(map[core.Organisation]*member),
		waits: calibration{promises: make(map[core.RequestID]promise)},
	}
}

// work returns what a request occupies, in tokens of KV memory. Memory is what requests
// of very different lengths compete for. A call of a plain service counts one.
func work(req *core.Request) int { return 1 + req.PromptTokens + req.OutputTokens }

// member returns the organisation's part and marks it as active.
func (g *group) member(now core.Instant, organisation core.Organisation) *member {
	m, ok := g.members[organisation]
	if !ok {
		m = &member{}
		g.members[organisation] = m
	}
	m.lastSeen = now
	return m
}

func (g *group) add(req *core.Request, m *member) {
	g.inFlight++
	g.peak = max(g.peak, g.inFlight)
	g.held += work(req)
	if req.Kind.Urgent {
		g.urgentInFlight++
	}
	m.inFlight++
	m.held += work(req)
}

func (g *group) remove(now core.Instant, req *core.Request, inTime bool) {
	g.waits.finished(now, req, inTime)
	m := g.member(now, req.Organisation)
	if m.inFlight > 0 {
		m.inFlight--
		m.held -= work(req)
		g.inFlight--
		g.held -= work(req)
		if req.Kind.Urgent {
			g.urgentInFlight--
		}
	}
	g.answers++
	if req.Kind.Urgent {
		g.urgent++
	}
	if inTime {
		return
	}
	g.late++
	if req.Kind.Urgent {
		g.urgentLate++
	}
}

// exceedsShare reports whether the request would take its organisation above an equal
// share of the work in flight. An organisation with nothing in flight never exceeds it.
func (g *group) exceedsShare(req *core.Request, m *member) bool {
	if len(g.members) < 2 || m.inFlight == 0 {
		return false
	}
	share := float64(g.held+work(req)) / float64(len(g.members))
	return float64(m.held+work(req)) > share*(1+shareSlack)
}

func (g *group) noteWeight(weight float64) { g.weight = max(g.weight, weight) }

func (g *group) greatestWeight() float64 { return max(g.weight, g.weightBefore) }

// advance judges the window once it is over and forgets idle organisations.
func (g *group) advance(now core.Instant, options *Options) {
	if now < g.windowEnds {
		return
	}
	g.windowEnds = now.Add(window)
	if options.Adaptive && g.answers >= minimumSamples {
		g.adapt(now, options)
	}
	if g.answers >= minimumSamples || g.inFlight == 0 {
		g.peak, g.answers, g.late, g.urgent, g.urgentLate = g.inFlight, 0, 0, 0, 0
	}
	if now < g.sweepAt {
		return
	}
	g.sweepAt = now.Add(activeFor)
	g.weightBefore, g.weight = g.weight, 0
	for organisation, m := range g.members {
		if m.inFlight == 0 && now.Sub(m.lastSeen) >= activeFor {
			delete(g.members, organisation)
		}
	}
}

// adapt lowers the limit below the peak of a window with too many late answers, at most
// once per response time, and raises it when a window used most of it without.
func (g *group) adapt(now core.Instant, options *Options) {
	tooLate := float64(g.late) > options.LateShare*float64(g.answers)+lateSlack ||
		float64(g.urgentLate) > options.UrgentLateShare*float64(g.urgent)+lateSlack
	switch {
	case tooLate && now < g.holdUntil:
	case tooLate:
		// By Little's law the response time is the work in flight over the rate of
		// answers. One window has passed when the next is judged.
		g.holdUntil = now.Add(window*time.Duration(g.peak)/time.Duration(g.answers) - window)
		g.limit = max(float64(options.MinConcurrent), min(g.limit, float64(g.peak))*decrease)
	case float64(g.peak) > g.limit/2:
		g.limit = min(float64(options.MaxConcurrent), g.limit+max(2, g.limit*increase))
	}
}
