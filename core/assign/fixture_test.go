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

// The engines of the tests: 300 prompt tokens a millisecond, and time in proportion to the
// pairs of tokens.
const (
	tokenMs = 1.0 / 300
	pairMs  = 0.07
	slots   = 16
)

var engineLimits = &core.EngineLimits{
	Slots: slots, CacheTokens: 300_000, CacheTokenBytes: 262_144, LinkBytesPerSecond: 875e9,
}

// trueTime is what an idle engine needs.
func trueTime(w prompt.Work, role core.Role) time.Duration {
	ms := float64(w.Tokens)*tokenMs + w.Pairs*pairMs
	if role != core.RolePrefill {
		ms *= 2
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func newAssigner(board *load.Board) *assign.Assigner {
	source := random.New(3)
	return assign.New(assign.Options{
		Board: board, Health: retry.NewHealth(retry.DefaultHealthOptions(), source), Random: source, Home: "here",
		Tuning: assign.DefaultTuning(),
	})
}

// newView lists prompt engines p0.. and generating engines g0...
func newView(readers, generators int) *roster.View {
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
	add("p", readers, core.RolePrefill)
	add("g", generators, core.RoleDecode)
	r := roster.New(time.Second)
	r.Replace(0, 1, list)
	return r.View()
}

// arrival is a request of a played load.
type arrival struct {
	at     core.Instant
	prompt core.Prompt
}

// arrivals returns requests for a time at a rate per second: one of four instructions of
// 2,500 tokens, one of many subjects of about 3,800, and an own part of about 2,900 with a
// wide spread.
func arrivals(seed uint64, rate float64, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 2))
	spread := func(mean, sigma float64) int {
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
			{ID: serial, Tokens: min(18_000, 1+spread(2900, 0.8))},
		}}
		for _, part := range p.Parts {
			p.Tokens += part.Tokens
		}
		list = append(list, arrival{core.Instant(at * float64(time.Second)), p})
	}
}

// outcome is what the callers of a played load got.
type outcome struct {
	onTime, late, refused int
	// worstRetry is the shortest time after which a refused caller was asked back.
	worstRetry time.Duration
}

func (o outcome) total() int { return o.onTime + o.late + o.refused }

// ending is the end of work at an engine.
type ending struct {
	at   core.Instant
	done func(core.Instant)
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world plays a load against engines that compute prompts one after another.
type world struct {
	board    *load.Board
	assigner *assign.Assigner
	view     *roster.View
	caches   map[core.TargetID]*prompt.Cache
	freeAt   map[core.TargetID]core.Instant
	pending  endings
	serial   uint32
}

// setCapacities gives each engine its cache on the board.
func setCapacities(board *load.Board, view *roster.View) {
	for e := range view.All {
		board.SetCapacity(e.ID, engineLimits.CacheTokens)
	}
}

// newWorld returns a fleet of 9 engines that compute prompts and 5 that generate.
func newWorld() *world {
	board := load.NewBoard()
	w := &world{
		board: board, assigner: newAssigner(board), view: newView(9, 5),
		caches: map[core.TargetID]*prompt.Cache{}, freeAt: map[core.TargetID]core.Instant{},
	}
	for e := range w.view.All {
		w.caches[e.ID] = prompt.NewCache(engineLimits.CacheTokens)
	}
	setCapacities(board, w.view)
	return w
}

// advance lets the engines work until now.
func (w *world) advance(now core.Instant) {
	for len(w.pending) > 0 && w.pending[0].at <= now {
		next := heap.Pop(&w.pending).(ending)
		next.done(next.at)
	}
}

// objective and patience of the played requests.
const (
	objective = 150 * time.Millisecond
	patience  = 2 * time.Second
)

// play sends all requests and returns what the callers got. choose may replace the
// assigner's decision.
func (w *world) play(list []arrival, choose func(core.Instant, *assign.Request) assign.Decision) outcome {
	if choose == nil {
		choose = func(now core.Instant, req *assign.Request) assign.Decision {
			return w.assigner.Assign(now, w.view, req)
		}
	}
	o := outcome{worstRetry: patience}
	for i := range list {
		a := &list[i]
		w.advance(a.at)
		req := &assign.Request{
			Service: "models", Engine: engineLimits, Prompt: &a.prompt, Chain: prompt.NewChain(&a.prompt),
			Objective: objective, Remaining: patience,
		}
		d := choose(a.at, req)
		if d.Target == nil {
			o.refused++
			o.worstRetry = min(o.worstRetry, d.RetryAfter)
			continue
		}
		w.compute(a.at, d, req, &o)
	}
	w.advance(core.Instant(math.MaxInt64))
	return o
}

func (w *world) compute(now core.Instant, d assign.Decision, req *assign.Request, o *outcome) {
	w.serial++
	id, role := d.Target.ID, d.Target.Role
	item := load.Item{
		Ref: load.Ref{Key: load.Key{Sender: 1, Serial: w.serial}, Target: id}, Kind: d.Kind, Compute: d.ComputeTime, Chain: req.Chain,
	}
	w.board.Sent(now, item)
	held := w.caches[id].Held(req.Chain.Shared())
	transfer := time.Duration(0)
	if d.FetchSource != nil {
		if there := w.caches[d.FetchSource.ID].Held(req.Chain.Shared()); there > held {
			transfer = prompt.TransferTime(engineLimits, there-held, true)
			held = there
		}
	}
	work := prompt.NewWork(req.Prompt.Tokens, held)
	w.caches[id].Add(req.Chain)
	w.freeAt[id] = max(w.freeAt[id], now).Add(transfer + trueTime(work, role))
	heap.Push(&w.pending, ending{w.freeAt[id], func(at core.Instant) {
		if took, ok := w.board.Finished(at, item.Ref); ok {
			w.assigner.ObservePrompt("models", d.Kind, work, took-transfer)
		}
		switch waited := at.Sub(now); {
		case waited <= objective:
			o.onTime++
		default:
			o.late++
		}
	}})
}
