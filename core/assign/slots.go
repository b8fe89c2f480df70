package assign

import (
	"maps"
	"math"
	"time"

	"gorseline/core"
	"gorseline/core/load"
	"gorseline/core/roster"
)

// Counts are the numbers of this instance's decisions and refusals for a service.
type Counts struct {
	Requests int
	// NoSlot counts refusals because no generating engine had a free slot, Backlog those
	// because every engine had too much prompt work.
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
) (found, hasFree bool) {
	for _, e := range view.Ready(req.Service) {
		if !a.mayGenerate(e, req) || !a.isUsable(now, e, req.Exclude, req.Version) {
			continue
		}
		found = true
		if state := a.opts.Loads.State(now, e.ID, nil); hasSlot(e, &state, reserved) {
			return true, true
		}
	}
	return found, false
}

// hasSlot reports whether an engine has a free slot beyond the reserved share. Requests are
// not queued for slots, since long answers occupy them for seconds, which is more than most
// objectives allow.
func hasSlot(e *roster.Entry, state *load.State, reserved float64) bool {
	slots := e.Slots - int(math.Ceil(reserved*float64(e.Slots)))
	return e.Slots <= 0 || state.Running < max(1, slots)
}

// reservedShare returns the share of an engine's slots that a request must leave free for
// brief answers.
func (a *Assigner) reservedShare(m *serviceModel, req *Request) float64 {
	if a.isLong(m, req) && m.briefShare > a.opts.MinBriefShare {
		return a.opts.ReservedShare
	}
	return 0
}

// isLong reports whether the answer is expected to occupy its slot for longer than a brief one.
func (a *Assigner) isLong(m *serviceModel, req *Request) bool {
	return m.slotTimes[req.Route] > a.opts.BriefSlotTime
}

// briefLearningRate is the weight of one request in the moving average of the share of brief
// answers. The average covers the last few hundred requests.
const briefLearningRate = 0.005

func (m *serviceModel) countBrief(isLong bool) {
	sample := 1.0
	if isLong {
		sample = 0
	}
	m.briefShare += briefLearningRate * (sample - m.briefShare)
}

// ObserveSlotTime records how long an answer occupied its slot.
func (a *Assigner) ObserveSlotTime(req *Request, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	m.slotTimes[req.Route] += time.Duration(learningRate * float64(took-m.slotTimes[req.Route]))
}

// RetainRoutes deletes the learned slot times of all routes that are not in names.
func (a *Assigner) RetainRoutes(names map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.models {
		maps.DeleteFunc(m.slotTimes, func(name string, _ time.Duration) bool { return !names[name] })
	}
}
