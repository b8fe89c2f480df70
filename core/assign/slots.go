package assign

import (
	"maps"
	"math"
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/roster"
)

// Counts says how many requests of a service were decided here and why some were refused.
type Counts struct {
	Requests int
	// NoSlot were refused because no generating engine had a free slot, Backlog because
	// every engine had too much prompt work.
	NoSlot, Backlog int
}

// Sub returns the counts since earlier ones.
func (c Counts) Sub(earlier Counts) Counts {
	return Counts{c.Requests - earlier.Requests, c.NoSlot - earlier.NoSlot, c.Backlog - earlier.Backlog}
}

// Counts returns the counts of a service since the start.
func (a *Assigner) Counts(service core.Service) Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.model(service).counts
}

// generators reports whether there are engines that could generate an answer, and whether
// one of them has a free slot.
func (a *Assigner) generators(
	now core.Instant, view *roster.View, req *Request, reserved float64,
) (exist, hasFree bool) {
	for _, e := range view.Ready(req.Service) {
		if !e.Role.AcceptsDecode() || !a.knows(e) || !a.usable(now, e, req.Exclude) {
			continue
		}
		exist = true
		if state := a.opts.Board.State(now, e.ID, nil); hasSlot(e, &state, reserved) {
			return true, true
		}
	}
	return exist, false
}

// hasSlot reports whether a request that leaves a share of the slots free would not wait for
// one. Long answers hold slots for seconds, so that a wait takes longer than most
// objectives allow.
func hasSlot(e *roster.Entry, state *load.State, reserved float64) bool {
	slots := e.Slots - int(math.Ceil(reserved*float64(e.Slots)))
	return e.Slots <= 0 || state.Running < max(1, slots)
}

// reserved returns the share of an engine's slots that a request leaves to brief ones.
func (a *Assigner) reserved(m *model, req *Request) float64 {
	if a.isLong(m, req) && m.brief > a.opts.MinBriefShare {
		return a.opts.ReservedShare
	}
	return 0
}

// isLong reports whether the answer is expected to hold its slot for long.
func (a *Assigner) isLong(m *model, req *Request) bool {
	return m.holds[req.Route] > a.opts.BriefSlotTime
}

// briefWeight is the weight of a request in the share of brief answers: some hundred
// requests count.
const briefWeight = 0.005

func (m *model) countBrief(isLong bool) {
	sample := 1.0
	if isLong {
		sample = 0
	}
	m.brief += briefWeight * (sample - m.brief)
}

// ObserveSlotTime takes in how long an answer held its slot.
func (a *Assigner) ObserveSlotTime(req *Request, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	m.holds[req.Route] += time.Duration(learning * float64(took-m.holds[req.Route]))
}

// RetainRoutes forgets what was learned about all other routes.
func (a *Assigner) RetainRoutes(names map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.models {
		maps.DeleteFunc(m.holds, func(name string, _ time.Duration) bool { return !names[name] })
	}
}
