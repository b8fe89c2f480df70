// Package assign chooses the targets of forwarded requests and refuses those that
// can't be answered in time.
//
// Prompts are computed on an engine for prompts and imported by one that generates, or
// computed where they are generated, whichever promises the first token sooner at the
// least work. Decisions rest on the outstanding work of all instances, on learned costs
// and on what engines are believed to hold in their caches.
package assign

import (
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/retry"
	"gorseline/core/roster"
)

// Options are the parts and settings of an Assigner.
type Options struct {
	Board  *load.Board
	Health *retry.Health
	Random *random.Source
	Home   core.DataCentre
	// Cells says which targets' load is known here; nil means all.
	Cells load.CellProvider
	Tuning
}

// Tuning holds the weights of decisions.
type Tuning struct {
	// OnTimeShare is the share of a request's objective within which the first token must be
	// expected. The rest covers the way to the caller and the error of the estimate.
	OnTimeShare float64
	// LateShare is the share of the remaining time that a request which can't be on time may
	// be expected to take.
	LateShare float64
	// WorkWeight is how much computing time on an engine counts beside the time until the
	// first token: it is taken from other requests. A high weight sends prompts where most
	// of them is cached, as long as they are on time there.
	WorkWeight float64
	// RemotePenalty is the time that a target in another data centre must save. It stands for the
	// price of the bytes between data centres.
	RemotePenalty time.Duration
	// ShortPromptTime is the computing time up to which a prompt is computed on any generating
	// engine: it holds up the streams there by little more than a step.
	ShortPromptTime time.Duration
	// MaxMixedStreams is the number of streams up to which a generating engine also computes a
	// long prompt. Each of them waits for a piece of the prompt at every token.
	MaxMixedStreams int
	// ReservedShare is the share of an engine's slots that long answers leave free for brief ones,
	// which hold a slot for a hundredth of the time. BriefSlotTime is the time up to which an
	// answer counts as brief, MinBriefShare the share of brief ones among all from which on
	// slots are kept for them.
	ReservedShare float64
	BriefSlotTime time.Duration
	MinBriefShare float64
	// MaxRetryShare is the share of the remaining time that a caller may be asked to wait.
	MaxRetryShare float64
}

// DefaultTuning returns the weights in use; docs/POLICIES.md has their comparison.
func DefaultTuning() Tuning {
	return Tuning{
		OnTimeShare: 0.80, LateShare: 0.6, WorkWeight: 4, RemotePenalty: 10 * time.Millisecond,
		ShortPromptTime: 4 * time.Millisecond, MaxMixedStreams: 4, MaxRetryShare: 0.33,
		ReservedShare: 0.12, BriefSlotTime: 250 * time.Millisecond, MinBriefShare: 0.1,
	}
}

// Request is what a decision needs of a request.
type Request struct {
	Service core.Service
	// Route names the kind of request.
	Route  string
	Engine *core.EngineLimits
	Prompt *core.Prompt
	Chain  prompt.Chain
	// Objective is the time left to answer on time, Remaining the time left at all.
	Objective time.Duration
	Remaining time.Duration
	// Exclude holds targets that were tried already.
	Exclude []core.TargetID
}

// Decision is the outcome of an assignment. Target is nil for a refusal.
type Decision struct {
	Target *roster.Entry
	// Kind is load.Prefill for a prompt that another engine imports, or load.Whole.
	Kind load.WorkKind
	// Work is what the target computes, Compute how long it should take alone.
	Work        prompt.Work
	ComputeTime time.Duration
	// Expected is the time until the first token; Backlog the part spent waiting.
	Expected time.Duration
	Backlog  time.Duration
	// CachedTokens is the part of the prompt that the target should have cached, in tokens. If
	// Fetch is set, the target fetches it from there, in the time Transfer.
	CachedTokens int
	FetchSource  *roster.Entry
	FetchTime    time.Duration
	// Limit is the bound that Expected was held against.
	Limit      time.Duration
	Candidates int
	Reason     core.Reason
	RetryAfter time.Duration
}

// ReasonBacklog refuses a request because every engine has too much prompt work.
const ReasonBacklog core.Reason = "Backlog"

// Assigner decides for one instance. It is safe for concurrent use.
type Assigner struct {
	opts Options

	mu     sync.Mutex
	models map[core.Service]*model
	// scratch spares an allocation per decision.
	scratch []candidate
	// away holds how long work waited in other cells.
	away map[core.DataCentre]*waiting
}

// model is what was learned about the engines of one service.
type model struct {
	prefill *prompt.Cost
	// wholeRatio is how much longer a generating engine takes for a prompt.
	wholeRatio float64
	// handover is the time from an import's start to the first token beyond the transfer.
	handover time.Duration
	// holds is how long the answers of each route hold a slot, brief the share of brief
	// answers among the requests.
	holds  map[string]time.Duration
	brief  float64
	counts Counts
}

// Starting values of a model, replaced by what answers show: generating engines compute
// prompts at half the speed.
const (
	startWholeRatio = 2.0
	startHandover   = 5 * time.Millisecond
	// learning is the weight of a new sample in the running means.
	learning = 0.1
)

// New returns an assigner that has learned nothing.
func New(opts Options) *Assigner {
	return &Assigner{
		opts: opts, models: map[core.Service]*model{}, away: map[core.DataCentre]*waiting{},
	}
}

func (a *Assigner) model(service core.Service) *model {
	m, ok := a.models[service]
	if !ok {
		m = &model{prefill: prompt.NewCost(), wholeRatio: startWholeRatio, handover: startHandover, holds: map[string]time.Duration{}}
		a.models[service] = m
	}
	return m
}

// candidate is one way to serve a request.
type candidate struct {
	Decision
	score time.Duration
}

// Assign chooses where the prompt of a request is computed.
func (a *Assigner) Assign(now core.Instant, view *roster.View, req *Request) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	m.counts.Requests++
	m.countBrief(a.isLong(m, req))
	candidates, shortest, isFull := a.candidates(now, view, req, m)
	limit := a.limit(req, shortest)
	best, ok := choose(candidates, limit)
	if !ok {
		if other, found := a.elsewhere(now, view, req, m); found && (len(candidates) == 0 || other.Expected < best.Expected) {
			best, limit = other, a.limit(req, other.Expected-other.Backlog)
			ok = best.Expected <= limit
		}
	}
	if best.Target == nil && isFull {
		m.counts.NoSlot++
		return a.refuse(req, Decision{Reason: core.ReasonNoSlot}, req.Objective)
	}
	if best.Target == nil {
		return a.refuse(req, Decision{Reason: core.ReasonNoTarget}, req.Objective)
	}
	best.Candidates, best.Limit = len(candidates), limit
	if !ok {
		m.counts.Backlog++
		best.Target, best.Reason = nil, ReasonBacklog
		return a.refuse(req, best.Decision, best.Expected-limit)
	}
	best.Reason = core.ReasonLeastDelay
	if best.CachedTokens > 0 {
		best.Reason = core.ReasonPrefixHit
	}
	return best.Decision
}

// limit returns how long the first token may take. A prompt that is too long to be on
// time even on an idle engine may take as much longer.
func (a *Assigner) limit(req *Request, shortest time.Duration) time.Duration {
	onTime := time.Duration(a.opts.OnTimeShare * float64(req.Objective))
	late := time.Duration(a.opts.LateShare * float64(req.Remaining))
	if shortest > onTime/2 {
		onTime = shortest + onTime/2
	}
	return min(onTime, late)
}

// choose returns the candidate with the least score among those within the limit. If there
// is none, ok is false and the soonest one is returned.
func choose(candidates []candidate, limit time.Duration) (best candidate, ok bool) {
	for i := range candidates {
		c := &candidates[i]
		switch isWithin := c.Expected <= limit; {
		case isWithin && (!ok || c.score < best.score):
			best, ok = *c, true
		case !ok && (best.Target == nil || c.Expected < best.Expected):
			best = *c
		}
	}
	return best, ok
}

// candidates returns the engines of the own cell that could compute the prompt, and the
// shortest time on one of them if it were idle. isFull reports that none of those that
// generate has a free slot. The slice is valid until the next call.
func (a *Assigner) candidates(
	now core.Instant, view *roster.View, req *Request, m *model,
) (list []candidate, shortest time.Duration, isFull bool) {
	list = a.scratch[:0]
	reserved := a.reserved(m, req)
	generates, hasFree := a.generators(now, view, req, reserved)
	var most holder
	for _, e := range view.Ready(req.Service) {
		if !a.knows(e) || !a.usable(now, e, req.Exclude) {
			continue
		}
		state := a.opts.Board.State(now, e.ID, req.Chain.Shared())
		a.offer(&most, e, state.Held)
		if e.Role == core.RolePrefill && !hasFree {
			continue
		}
		c, ok := a.candidate(e, &state, req, m, reserved)
		if !ok {
			continue
		}
		if alone := c.Expected - c.Backlog; len(list) == 0 || alone < shortest {
			shortest = alone
		}
		list = append(list, c)
	}
	for i := range list {
		a.withFetch(&list[i], &most, req, m)
	}
	a.scratch = list
	return list, shortest, generates && !hasFree
}

func (a *Assigner) usable(now core.Instant, e *roster.Entry, exclude []core.TargetID) bool {
	for _, id := range exclude {
		if id == e.ID {
			return false
		}
	}
	return a.opts.Health.Usable(now, e.ID)
}

// candidate rates one engine.
func (a *Assigner) candidate(
	e *roster.Entry, state *load.State, req *Request, m *model, reserved float64,
) (candidate, bool) {
	if !hasSlot(e, state, reserved) {
		return candidate{}, false
	}
	c := candidate{Decision: Decision{Target: e, CachedTokens: state.Held, Backlog: state.Backlog}}
	c.Work = prompt.NewWork(req.Prompt.Tokens, state.Held)
	c.ComputeTime = m.prefill.Time(c.Work)
	c.Kind = load.Prefill
	if e.Role != core.RolePrefill {
		if c.ComputeTime > a.opts.ShortPromptTime && a.hasStreams(state) {
			return candidate{}, false
		}
		c.Kind = load.Whole
		c.ComputeTime = time.Duration(m.wholeRatio * float64(c.ComputeTime))
	}
	c.Expected = state.Backlog + c.ComputeTime
	if c.Kind == load.Prefill {
		c.Expected += prompt.TransferTime(req.Engine, req.Prompt.Tokens, true) + m.handover
	}
	c.score = c.Expected + time.Duration(a.opts.WorkWeight*float64(c.ComputeTime))
	if e.DataCentre != a.opts.Home {
		c.score += a.opts.RemotePenalty
	}
	return c, true
}

// hasStreams reports whether a long prompt on a generating engine would hold up others:
// it is computed between their tokens, in many pieces.
func (a *Assigner) hasStreams(state *load.State) bool {
	return state.Prompts > 0 || state.Generating > a.opts.MaxMixedStreams
}

// refuse fills in when the caller should come back. The time is spread over the upper
// part of what callers wait, so that they neither return together nor into the same queue.
func (a *Assigner) refuse(req *Request, d Decision, excess time.Duration) Decision {
	longest := time.Duration(a.opts.MaxRetryShare * float64(req.Remaining))
	after := max(excess, longest/2)
	d.RetryAfter = min(longest, after+time.Duration(a.opts.Random.Unit()*float64(longest/2)))
	return d
}

// AssignGenerator chooses the engine that imports a prompt from source and generates.
func (a *Assigner) AssignGenerator(now core.Instant, view *roster.View, req *Request, source *roster.Entry) (*roster.Entry, bool) {
	var best *roster.Entry
	var least time.Duration
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	reserved := a.reserved(m, req)
	for _, e := range view.Ready(req.Service) {
		if !e.Role.AcceptsDecode() || !a.usable(now, e, req.Exclude) || a.cell(e) != a.cell(source) {
			continue
		}
		state := a.opts.Board.State(now, e.ID, nil)
		if !hasSlot(e, &state, reserved) {
			continue
		}
		isLocal := e.DataCentre == source.DataCentre
		score := prompt.TransferTime(req.Engine, req.Prompt.Tokens, isLocal)*time.Duration(1+state.Generating) +
			state.Backlog/4 + m.handover*time.Duration(state.Generating)/8
		if e.DataCentre != a.opts.Home {
			score += a.opts.RemotePenalty
		}
		if !a.knows(e) {
			// Loads there are unknown, so that the choice is left to chance.
			score = time.Duration(a.opts.Random.Unit() * float64(time.Second))
		}
		if best == nil || score < least {
			best, least = e, score
		}
	}
	return best, best != nil
}

// ObservePrompt takes in how long an engine computed a prompt alone.
func (a *Assigner) ObservePrompt(service core.Service, kind load.WorkKind, w prompt.Work, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(service)
	if kind == load.Prefill {
		m.prefill.Observe(w, took)
		return
	}
	expected := m.prefill.Time(w)
	if m.prefill.Samples() == 0 || expected <= 0 {
		return
	}
	ratio := min(maximumWholeRatio, max(1, float64(took)/float64(expected)))
	m.wholeRatio += learning * (ratio - m.wholeRatio)
}

// maximumWholeRatio bounds what a single stalled answer can teach.
const maximumWholeRatio = 6

// ObserveHandover takes in the time from an import's start to the first token.
func (a *Assigner) ObserveHandover(req *Request, isLocal bool, took time.Duration) {
	extra := took - prompt.TransferTime(req.Engine, req.Prompt.Tokens, isLocal)
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	// A stalled import says nothing about the next one.
	extra = min(max(0, extra), 10*startHandover)
	m.handover += time.Duration(learning * float64(extra-m.handover))
}
