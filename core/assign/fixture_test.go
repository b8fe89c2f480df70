package assign_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/retry"
	"gorseline/core/roster"
)

// Speed and size of the simulated engines.
const (
	tokenMs = 1.0 / 300 // computing time per prompt token, in milliseconds
	pairMs  = 0.07      // computing time per unit of prompt.Work.Pairs, in milliseconds
	slots   = 16
)

var engineLimits = &core.EngineLimits{
	Slots: slots, CacheTokens: 300_000, CacheTokenBytes: 262_144, LinkBytesPerSecond: 875e9,
}

// computeTime returns the computing time of an idle simulated engine.
func computeTime(w prompt.Work, role core.Role) time.Duration {
	ms := float64(w.Tokens)*tokenMs + w.Pairs*pairMs
	if role != core.RolePrefill {
		ms *= 2
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func newAssigner(loads *load.Tracker) *assign.Assigner {
	return newTunedAssigner(loads, assign.DefaultTuning())
}

func newTunedAssigner(loads *load.Tracker, tuning assign.Tuning) *assign.Assigner {
	source := random.New(3)
	return assign.New(assign.Options{
		Loads: loads, Health: retry.NewHealth(retry.DefaultHealthOptions(), source), Random: source, Home: "here",
		Tuning: tuning,
	})
}

// newView returns a view of prefill engines p0, p1, ... and generating engines g0, g1, ...
func newView(prefillEngines, generators int) *roster.View {
	var list []core.Registration
	add := func(prefix string, count int, role core.Role) {
		for i := range count {
			list = append(list, core.Registration{
				Target: core.Target{
					ID: core.TargetID(fmt.Sprint(prefix, i)), Service: "models", Address: "a", DataCentre: "here", Role: role,
				},
				Slots: slots,
			})
		}
	}
	add("p", prefillEngines, core.RolePrefill)
	add("g", generators, core.RoleDecode)
	r := roster.New(time.Second)
	r.Replace(0, 1, list)
	return r.View()
}

// arrival is a request of a simulated load.
type arrival struct {
	at     core.Instant
	prompt core.Prompt
}

// arrivals returns Poisson arrivals of the given length at a rate per second. A prompt has one
// of four instructions of 2,500 tokens, one of 1,600 subjects of 3,800 tokens, and a unique
// part with a log-normal length of about 2,900 tokens on average.
func arrivals(seed uint64, rate float64, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 2))
	logNormal := func(mean, sigma float64) int {
		return int(mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2))
	}
	var list []arrival
	at := 0.0
	for serial := uint64(1 << 32); ; serial++ {
		at += rng.ExpFloat64() / rate
		if at >= length.Seconds() {
			return list
		}
		p := core.Prompt{Model: "m", Parts: []core.PromptPart{
			{ID: uint64(rng.IntN(4)), Tokens: 2500},
			{ID: 100 + uint64(rng.IntN(1600)), Tokens: 3800},
			{ID: serial, Tokens: min(18_000, 1+logNormal(2900, 0.8))},
		}}
		for _, part := range p.Parts {
			p.Tokens += part.Tokens
		}
		list = append(list, arrival{core.Instant(at * float64(time.Second)), p})
	}
}

// outcome counts the results of a simulated load.
type outcome struct {
	onTime, late, refused int
	// leastRetry is the shortest retry time of a refusal.
	leastRetry time.Duration
}

func (o outcome) total() int { return o.onTime + o.late + o.refused }

// completion is a scheduled end of work on an engine.
type completion struct {
	at   core.Instant
	done func(core.Instant)
}

// completions is a heap ordered by time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// fleet simulates engines that compute prompts one after another.
type fleet struct {
	loads    *load.Tracker
	assigner *assign.Assigner
	view     *roster.View
	caches   map[core.TargetID]*prompt.CacheModel
	freeAt   map[core.TargetID]core.Instant
	pending  completions
	serial   uint32
}

// setCapacities sets the cache capacity of each engine.
func setCapacities(loads *load.Tracker, view *roster.View) {
	for e := range view.All {
		loads.SetCapacity(e.ID, engineLimits.CacheTokens)
	}
}

// newFleet returns a fleet of 9 prefill and 5 generating engines.
func newFleet() *fleet {
	loads := load.NewTracker()
	f := &fleet{
		loads: loads, assigner: newAssigner(loads), view: newView(9, 5),
		caches: map[core.TargetID]*prompt.CacheModel{}, freeAt: map[core.TargetID]core.Instant{},
	}
	for e := range f.view.All {
		f.caches[e.ID] = prompt.NewCacheModel(engineLimits.CacheTokens)
	}
	setCapacities(loads, f.view)
	return f
}

// advance completes the work that ends by now.
func (f *fleet) advance(now core.Instant) {
	for len(f.pending) > 0 && f.pending[0].at <= now {
		next := heap.Pop(&f.pending).(completion)
		next.done(next.at)
	}
}

const (
	objective = 150 * time.Millisecond // latency objective of the simulated requests
	maxWait   = 2 * time.Second        // their deadline
)

// run sends all requests and returns their outcome. If choose is not nil, it replaces the
// assigner's decisions.
func (f *fleet) run(list []arrival, choose func(core.Instant, *assign.Request) assign.Decision) outcome {
	if choose == nil {
		choose = func(now core.Instant, req *assign.Request) assign.Decision {
			return f.assigner.Assign(now, f.view, req)
		}
	}
	o := outcome{leastRetry: maxWait}
	for i := range list {
		a := &list[i]
		f.advance(a.at)
		req := &assign.Request{
			Service: "models", Engine: engineLimits, Prompt: &a.prompt, Chain: prompt.NewChain(&a.prompt),
			Objective: objective, Remaining: maxWait,
		}
		d := choose(a.at, req)
		if d.Target == nil {
			o.refused++
			o.leastRetry = min(o.leastRetry, d.RetryAfter)
			continue
		}
		f.compute(a.at, d, req, &o)
	}
	f.advance(core.Instant(math.MaxInt64))
	return o
}

// compute sends a request to its target and schedules the end of its prompt.
func (f *fleet) compute(now core.Instant, d assign.Decision, req *assign.Request, o *outcome) {
	f.serial++
	id, role := d.Target.ID, d.Target.Role
	item := load.Item{
		Ref: load.Ref{Key: load.Key{Sender: 1, Serial: f.serial}, Target: id}, Kind: d.Kind, ComputeTime: d.ComputeTime, Chain: req.Chain,
	}
	f.loads.Sent(now, item)
	cached := f.caches[id].CachedTokens(req.Chain.SharedPrefix())
	transfer := time.Duration(0)
	if d.FetchSource != nil {
		if sourceCached := f.caches[d.FetchSource.ID].CachedTokens(req.Chain.SharedPrefix()); sourceCached > cached {
			transfer = prompt.TransferTime(engineLimits, sourceCached-cached, true)
			cached = sourceCached
		}
	}
	work := prompt.NewWork(req.Prompt.Tokens, cached)
	f.caches[id].Add(req.Chain)
	f.freeAt[id] = max(f.freeAt[id], now).Add(transfer + computeTime(work, role))
	heap.Push(&f.pending, completion{f.freeAt[id], func(at core.Instant) {
		if took, ok := f.loads.Finished(at, item.Ref); ok {
			f.assigner.ObservePrompt("models", d.Kind, work, took-transfer)
		}
		switch waited := at.Sub(now); {
		case waited <= objective:
			o.onTime++
		default:
			o.late++
		}
	}})
}
