package admission

import (
	"time"

	"gorseline/core"
)

// group is the state of admission control for one model or service.
type group struct {
	inFlight int
	// urgentInFlight is the number of urgent requests among inFlight.
	urgentInFlight int
	// tokensInFlight is the KV memory of the requests in flight, in tokens.
	tokensInFlight int
	limit          float64
	members        map[core.Organisation]*member
	calibration    calibration

	// decreaseAllowedAt is when a lowered limit may be lowered again. Until then, requests
	// that were admitted under the previous limit still finish late.
	decreaseAllowedAt core.Instant

	// windowEnd is when the counts below are evaluated.
	windowEnd         core.Instant
	peakInFlight      int
	answers           int
	lateAnswers       int
	urgentAnswers     int
	urgentLateAnswers int

	// maxWeight and previousMaxWeight are the greatest weights of requests since the last
	// sweep and between the two sweeps before.
	maxWeight         float64
	previousMaxWeight float64
	nextSweep         core.Instant
}

// member is an organisation's usage of a group.
type member struct {
	inFlight       int
	tokensInFlight int
	lastSeen       core.Instant
}

func newGroup(limit float64) *group {
	return &group{
		limit: limit, members: make(map[core.Organisation]*member),
		calibration: calibration{predictions: make(map[core.RequestID]prediction)},
	}
}

// kvTokens returns the KV memory of a request, in tokens, which is the resource that requests
// of very different lengths compete for. A call of a plain service counts as one token.
func kvTokens(req *core.Request) int { return 1 + req.PromptTokens + req.OutputTokens }

// member returns the organisation's usage and marks the organisation as active.
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
	g.peakInFlight = max(g.peakInFlight, g.inFlight)
	g.tokensInFlight += kvTokens(req)
	if req.Kind.Urgent {
		g.urgentInFlight++
	}
	m.inFlight++
	m.tokensInFlight += kvTokens(req)
}

func (g *group) remove(now core.Instant, req *core.Request, inTime bool) {
	g.calibration.recordFinished(now, req, inTime)
	m := g.member(now, req.Organisation)
	if m.inFlight > 0 {
		m.inFlight--
		m.tokensInFlight -= kvTokens(req)
		g.inFlight--
		g.tokensInFlight -= kvTokens(req)
		if req.Kind.Urgent {
			g.urgentInFlight--
		}
	}
	g.answers++
	if req.Kind.Urgent {
		g.urgentAnswers++
	}
	if inTime {
		return
	}
	g.lateAnswers++
	if req.Kind.Urgent {
		g.urgentLateAnswers++
	}
}

// exceedsShare reports whether the request would raise its organisation above an equal share
// of the KV memory in flight, plus a tolerance. An organisation without requests in flight
// never exceeds its share.
func (g *group) exceedsShare(req *core.Request, m *member) bool {
	if len(g.members) < 2 || m.inFlight == 0 {
		return false
	}
	share := float64(g.tokensInFlight+kvTokens(req)) / float64(len(g.members))
	return float64(m.tokensInFlight+kvTokens(req)) > share*(1+shareTolerance)
}

func (g *group) recordWeight(weight float64) { g.maxWeight = max(g.maxWeight, weight) }

func (g *group) recentMaxWeight() float64 { return max(g.maxWeight, g.previousMaxWeight) }

// advance evaluates the window once it has ended and removes idle organisations.
func (g *group) advance(now core.Instant, options *Options) {
	if now < g.windowEnd {
		return
	}
	g.windowEnd = now.Add(windowLength)
	if options.Adaptive && g.answers >= minWindowAnswers {
		g.adapt(now, options)
	}
	if g.answers >= minWindowAnswers || g.inFlight == 0 {
		g.peakInFlight, g.answers, g.lateAnswers, g.urgentAnswers, g.urgentLateAnswers = g.inFlight, 0, 0, 0, 0
	}
	if now < g.nextSweep {
		return
	}
	g.nextSweep = now.Add(idleMemberTTL)
	g.previousMaxWeight, g.maxWeight = g.maxWeight, 0
	for organisation, m := range g.members {
		if m.inFlight == 0 && now.Sub(m.lastSeen) >= idleMemberTTL {
			delete(g.members, organisation)
		}
	}
}

// adapt lowers the limit below the peak concurrency of a window with too many late answers,
// at most once per response time. It raises the limit if there were few late answers and the
// peak exceeded half of it.
func (g *group) adapt(now core.Instant, options *Options) {
	tooLate := float64(g.lateAnswers) > options.LateShare*float64(g.answers)+toleratedLateAnswers ||
		float64(g.urgentLateAnswers) > options.UrgentLateShare*float64(g.urgentAnswers)+toleratedLateAnswers
	switch {
	case tooLate && now < g.decreaseAllowedAt:
	case tooLate:
		// By Little's law the response time is the number of requests in flight divided
		// by the rate of answers. One window has passed when the next is evaluated.
		g.decreaseAllowedAt = now.Add(windowLength*time.Duration(g.peakInFlight)/time.Duration(g.answers) - windowLength)
		g.limit = max(float64(options.MinConcurrent), min(g.limit, float64(g.peakInFlight))*decreaseFactor)
	case float64(g.peakInFlight) > g.limit/2:
		g.limit = min(float64(options.MaxConcurrent), g.limit+max(2, g.limit*increaseShare))
	}
}
