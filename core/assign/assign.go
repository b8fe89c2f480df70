// Package assign chooses the targets of forwarded requests and refuses those that
// can't be answered in time.
//
// A prompt is either computed by a prefill engine, whose KV cache a generating engine then
// imports, or computed by the generating engine itself. The choice weighs the expected time
// to the first token against the computing time. It uses the outstanding work of all
// instances, learned costs and the estimated contents of the engines' caches.
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
	"gorseline/core/targetlimit"
)

// Options are the dependencies and settings of an Assigner.
type Options struct {
	Loads  *load.Tracker
	Health *retry.Health
	Random *random.Source
	// Home is the data centre of this instance.
	Home core.DataCentre
	// Cells determines which targets' loads this instance knows; nil means all.
	Cells load.CellProvider
	// Limits holds the limits that targets state; nil means none.
	Limits *targetlimit.Limits
	// Pauses holds the pauses that targets ask for; nil means none.
	Pauses *retry.Pauses
	Tuning
}

// Tuning holds the weights and thresholds of decisions.
type Tuning struct {
	// OnTimeShare is the share of a request's objective within which the first token must be
	// expected. The rest covers the network delay to the caller and the estimation error.
	OnTimeShare float64
	// LateShare is the share of the time until the deadline within which the first token must
	// be expected. It also applies to requests whose objective no engine can meet.
	LateShare float64
	// WorkWeight is the weight of computing time relative to the time until the first token,
	// since computing delays other requests. A high weight favours engines that have most
	// of the prompt cached, as long as the first token is on time there.
	WorkWeight float64
	// CopyWeight is the weight of caching a shared prefix on an engine that isn't its home,
	// relative to the time to compute the prefix. At 0 prefixes have no homes.
	CopyWeight float64
	// RemotePenalty is added to the score of a target in another data centre. It represents
	// the cost of traffic between data centres.
	RemotePenalty time.Duration
	// VersionPenalty is added to the score of a generating engine whose software version isn't
	// that of the engine that computed the prompt.
	VersionPenalty time.Duration
	// ShortPromptTime is the computing time up to which a prompt is computed on any generating
	// engine: it delays the streams there by little more than a decoding step.
	ShortPromptTime time.Duration
	// MaxMixedStreams is the number of streams up to which a generating engine also computes a
	// long prompt. At every token, each stream waits for one chunk of the prompt.
	MaxMixedStreams int
	// ReservedShare is the share of an engine's slots that long answers leave free for brief
	// ones. A brief answer occupies a slot for a hundredth of the time of a long one.
	ReservedShare float64
	// BriefSlotTime is the expected slot time up to which an answer counts as brief.
	BriefSlotTime time.Duration
	// MinBriefShare is the share of brief answers above which slots are reserved for them.
	MinBriefShare float64
	// MaxRetryShare bounds the retry time of a refusal, as a share of the remaining time.
	MaxRetryShare float64
	// SampleSize is the number of engines that are compared at a time, beside the home of the prefix,
	// while loads are known with a delay. Of instances that know the same loads all would otherwise
	// choose the same engine until the next summary. 0 compares all engines.
	SampleSize int
	// ContinuationWait is the time within which the first token of a continuation must be
	// expected if only some engines have its version, or the usual limit if that is longer.
	ContinuationWait time.Duration
	// ContinuationRetry bounds the retry time of such a continuation. Its caller has few
	// attempts and little time.
	ContinuationRetry time.Duration
}

// DefaultTuning returns the default weights and thresholds; docs/POLICIES.md compares them
// with others.
func DefaultTuning() Tuning {
	return Tuning{
		OnTimeShare: 0.80, LateShare: 0.6, WorkWeight: 4, CopyWeight: 1, RemotePenalty: 10 * time.Millisecond,
		VersionPenalty: 10 * time.Millisecond, ShortPromptTime: 4 * time.Millisecond, MaxMixedStreams: 4, MaxRetryShare: 0.33,
		SampleSize: 2, ReservedShare: 0.12, BriefSlotTime: 250 * time.Millisecond, MinBriefShare: 0.1,
		ContinuationWait: time.Second, ContinuationRetry: 300 * time.Millisecond,
	}
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Service core.Service
	// Route names the kind of request.
	Route  string
	Engine *core.EngineLimits
	Prompt *core.Prompt
	Chain  prompt.Chain
	// Objective is the time left until the request's latency objective, Remaining the time
	// left until its deadline.
	Objective time.Duration
	Remaining time.Duration
	// Exclude lists the targets that were already tried.
	Exclude []core.TargetID
	// Version is the software version of the engines that may serve the request; nil allows
	// any. The continuation of a stream requires that at which it began.
	Version *core.SoftwareVersion
	// OnlyFree excludes generating engines without a known free slot from AssignGenerator in any
	// case, for a stream whose present engine may still go on.
	OnlyFree bool
}

// Decision is the outcome of an assignment. Target is nil for a refusal.
type Decision struct {
	Target *roster.Entry
	// Kind is load.Prefill if another engine imports the prompt's KV cache and generates the
	// answer, or load.Whole if the target does both.
	Kind load.WorkKind
	// Work is what the target computes, ComputeTime how long that takes on an idle target.
	Work        prompt.Work
	ComputeTime time.Duration
	// Expected is the time until the first token; Backlog the part spent waiting.
	Expected time.Duration
	Backlog  time.Duration
	// CachedTokens is the expected length of the prompt's cached prefix on the target,
	// including what it fetches. If FetchSource is set, the target fetches the prefix from
	// there, which takes FetchTime.
	CachedTokens int
	FetchSource  *roster.Entry
	FetchTime    time.Duration
	// Limit is the bound that Expected was compared with.
	Limit      time.Duration
	Candidates int
	Reason     core.Reason
	RetryAfter time.Duration
}

// ReasonBacklog is the reason of a refusal because every engine has too much prompt work.
const ReasonBacklog core.Reason = "Backlog"

// Assigner chooses targets for the requests of one instance. It is safe for concurrent use.
type Assigner struct {
	opts Options

	mu     sync.Mutex
	models map[core.Service]*serviceModel
	// candidateBuffer is reused to avoid an allocation per decision.
	candidateBuffer []candidate
	// holderBuffer is reused in the same way.
	holderBuffer []cacheHolder
	// remoteWaits holds the recent waiting times in other cells.
	remoteWaits map[core.DataCentre]*remoteWait
}

// serviceModel holds the learned costs of one service's engines and the counts of its
// decisions.
type serviceModel struct {
	prefill *prompt.CostModel
	// mixedRatio is the computing time of a prompt on a generating engine divided by that on
	// a prefill engine.
	mixedRatio float64
	// handoverTime is the time from an import's start to the first token, without the
	// transfer.
	handoverTime time.Duration
	// slotTimes holds the mean time that the answers of each route occupy a slot.
	slotTimes map[string]time.Duration
	// briefShare is the share of requests whose answers are expected to be brief.
	briefShare float64
	counts     Counts
	// offered is the computing time of the prompts that come to this instance, per time.
	offered offeredWork
}

// Parameters of the learned costs. The initial values apply until answers are observed.
const (
	// initialMixedRatio assumes that generating engines compute prompts at half the speed.
	initialMixedRatio   = 2.0
	initialHandoverTime = 5 * time.Millisecond
	// learningRate is the weight of a new sample in the moving averages.
	learningRate = 0.1
)

// New returns an assigner with initial costs.
func New(opts Options) *Assigner {
	return &Assigner{
		opts: opts, models: map[core.Service]*serviceModel{}, remoteWaits: map[core.DataCentre]*remoteWait{},
	}
}

func (a *Assigner) model(service core.Service) *serviceModel {
	m, ok := a.models[service]
	if !ok {
		m = &serviceModel{prefill: prompt.NewCostModel(), mixedRatio: initialMixedRatio, handoverTime: initialHandoverTime, slotTimes: map[string]time.Duration{}}
		a.models[service] = m
	}
	return m
}

// candidate is a possible decision with its score; a lower score is better.
type candidate struct {
	Decision
	score time.Duration
	// loadAge is the age of the summary of the target's load.
	loadAge time.Duration
	// isHome is set if the target is the home of the prompt's shared prefix.
	isHome bool
}

// Assign chooses the target that computes the prompt of a request.
func (a *Assigner) Assign(now core.Instant, view *roster.View, req *Request) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	m.counts.Requests++
	m.countBrief(a.isLong(m, req))
	best, ok, isFull := a.find(now, view, req, m, a.usualRules(now, view, req, m))
	m.offered.add(now, best.ComputeTime)
	restricted := isRestricted(view, req)
	if !ok && restricted {
		best, ok, isFull = a.find(now, view, req, m, a.continuationRules())
	}
	switch {
	case best.Target == nil && isFull:
		m.counts.NoSlot++
		return a.refuse(req, Decision{Reason: core.ReasonNoSlot}, req.Objective, restricted)
	case best.Target == nil:
		return a.refuse(req, Decision{Reason: missingReason(view, req.Service, req.Version)}, req.Objective, restricted)
	case !ok:
		m.counts.Backlog++
		best.Target, best.Reason = nil, ReasonBacklog
		return a.refuse(req, best.Decision, best.Expected-best.Limit, restricted)
	}
	best.Reason = core.ReasonLeastDelay
	if best.CachedTokens > 0 {
		best.Reason = core.ReasonPrefixHit
	}
	return best.Decision
}

// candidates returns the engines that can compute the prompt, which are those of the local cell
// and the home of the shared prefix, and the shortest expected time on any of them without
// backlog. isFull reports that there are generating engines but none has a free slot. The slice
// is valid until the next call.
func (a *Assigner) candidates(
	now core.Instant, view *roster.View, req *Request, m *serviceModel, r rules,
) (list []candidate, shortest time.Duration, isFull bool) {
	list = a.candidateBuffer[:0]
	hasGenerators, hasFree := a.generators(now, view, req, r.reserved)
	r.anySlot = r.anySlot && !hasFree
	a.holderBuffer = a.holderBuffer[:0]
	prefix := a.sharedPrefix(now, view, req)
	for _, e := range view.Ready(req.Service) {
		if !a.isLoadKnown(e) || !a.isUsable(now, e, req.Exclude, req.Version) {
			continue
		}
		state := a.opts.Loads.State(now, e.ID, req.Chain.SharedPrefix())
		if a.samplesEngines() && prefix.isHome(e) {
			state.CachedTokens = prefix.tokens // other instances don't tell what they send
		}
		a.considerHolder(e, state.CachedTokens)
		if e.Role == core.RolePrefill && !hasFree {
			continue
		}
		c, ok := a.evaluate(e, &state, req, m, r)
		if !ok {
			continue
		}
		if idle := c.Expected - c.Backlog; len(list) == 0 || idle < shortest {
			shortest = idle
		}
		list = append(list, c)
	}
	if a.samplesEngines() && prefix.home != nil && !a.isLoadKnown(prefix.home) {
		a.considerHolder(prefix.home, prefix.tokens)
	}
	if c, ok := a.remoteHome(now, prefix, req, m); ok && hasFree {
		if idle := c.Expected - c.Backlog; len(list) == 0 || idle < shortest {
			shortest = idle
		}
		list = append(list, c)
	}
	for i := range list {
		c := &list[i]
		held := c.CachedTokens
		c.isHome = prefix.isHome(c.Target)
		a.considerFetch(c, req, m)
		c.score += a.copyPenalty(c.Target, c.Kind, held, prefix, m)
	}
	a.candidateBuffer = list
	return list, shortest, hasGenerators && !hasFree
}

func (a *Assigner) isUsable(now core.Instant, e *roster.Entry, exclude []core.TargetID, required *core.SoftwareVersion) bool {
	if !hasVersion(e, required) {
		return false
	}
	for _, id := range exclude {
		if id == e.ID {
			return false
		}
	}
	if a.opts.Limits != nil && !a.opts.Limits.Ready(now, &e.Registration) {
		return false
	}
	if a.opts.Pauses != nil && a.opts.Pauses.Left(now, &e.Registration) > 0 {
		return false
	}
	return a.opts.Health.Usable(now, e.ID)
}

// evaluate returns the candidate for one engine. ok is false if the engine has no free slot
// or if the prompt would delay other requests on it for too long, unless the rules permit that.
func (a *Assigner) evaluate(
	e *roster.Entry, state *load.State, req *Request, m *serviceModel, r rules,
) (c candidate, ok bool) {
	if !r.permitsSlot(e, state) {
		return candidate{}, false
	}
	c = candidate{
		Decision: Decision{Target: e, CachedTokens: state.CachedTokens, Backlog: state.Backlog}, loadAge: state.Age,
	}
	c.Work = prompt.NewWork(req.Prompt.Tokens, state.CachedTokens)
	c.ComputeTime = m.prefill.Time(c.Work)
	c.Kind = load.Prefill
	if e.Role != core.RolePrefill {
		if !r.mustMix && c.ComputeTime > a.opts.ShortPromptTime && a.isBusyGenerating(state) {
			return candidate{}, false
		}
		c.Kind = load.Whole
		c.ComputeTime = time.Duration(m.mixedRatio * float64(c.ComputeTime))
	}
	c.Expected = state.Backlog + c.ComputeTime
	if c.Kind == load.Prefill {
		c.Expected += prompt.TransferTime(req.Engine, req.Prompt.Tokens, true) + m.handoverTime
	}
	c.score = c.Expected + time.Duration(a.opts.WorkWeight*float64(c.ComputeTime))
	if e.DataCentre != a.opts.Home {
		c.score += a.opts.RemotePenalty
	}
	if r.anySlot {
		c.score += fullPenalty(e, state)
	}
	return c, true
}

// isBusyGenerating reports whether a long prompt would delay other requests on a generating
// engine. The engine computes it in many chunks between the tokens of these requests.
func (a *Assigner) isBusyGenerating(state *load.State) bool {
	return state.Prompts > 0 || state.Generating > a.opts.MaxMixedStreams
}

// ObservePrompt records how long an engine took to compute a prompt, without queueing.
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
	ratio := min(maxMixedRatio, max(1, float64(took)/float64(expected)))
	m.mixedRatio += learningRate * (ratio - m.mixedRatio)
}

// maxMixedRatio bounds the effect of a single stalled answer.
const maxMixedRatio = 6

// ObserveHandover records the time from an import's start to the first token.
func (a *Assigner) ObserveHandover(req *Request, isLocal bool, took time.Duration) {
	extra := took - prompt.TransferTime(req.Engine, req.Prompt.Tokens, isLocal)
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.model(req.Service)
	// A stalled import doesn't predict the next one, so its effect is bounded.
	extra = min(max(0, extra), 10*initialHandoverTime)
	m.handoverTime += time.Duration(learningRate * float64(extra-m.handoverTime))
}
