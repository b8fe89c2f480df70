package assign_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/retry"
	"gorseline/core/roster"
)

// prefixRequest returns a request with a shared prefix, identified by a number, and a part of
// its own.
func prefixRequest(prefix, serial uint64, shared, own int) *assign.Request {
	p := &core.Prompt{Model: "m", Tokens: shared + own, Parts: []core.PromptPart{
		{ID: prefix, Tokens: shared}, {ID: 1<<40 + serial, Tokens: own},
	}}
	return &assign.Request{
		Service: "models", Engine: engineLimits, Prompt: p, Chain: prompt.NewChain(p), Objective: objective, Remaining: maxWait,
	}
}

// homes returns the engines to which an assigner without any knowledge of caches sends prompts
// with each of n prefixes.
func homes(view *roster.View, n uint64) []core.TargetID {
	var list []core.TargetID
	for i := range n {
		d := newAssigner(load.NewTracker()).Assign(0, view, prefixRequest(i, i, 10_000, 1000))
		list = append(list, d.Target.ID)
	}
	return list
}

// Guards against instances that compute one prefix on different engines, as all of them did
// after a restart, and against a lost engine whose prefixes all move to one other.
func TestPrefixesHaveOneHome(t *testing.T) {
	const prefixes = 300
	before := homes(newView(9, 2), prefixes)
	counts := map[core.TargetID]int{}
	for i, id := range homes(newView(9, 2), prefixes) {
		counts[id]++
		if id != before[i] {
			t.Fatalf("prefix %d has the homes %s and %s", i, before[i], id)
		}
	}
	if len(counts) != 9 {
		t.Errorf("the prefixes have %d homes, want 9", len(counts))
	}
	heirs := map[core.TargetID]int{}
	for i, id := range homes(newView(8, 2), prefixes) { // without p8
		if before[i] == "p8" {
			heirs[id]++
			continue
		}
		if id != before[i] {
			t.Errorf("prefix %d moved from %s to %s although its home is there", i, before[i], id)
		}
	}
	if len(heirs) < 4 {
		t.Errorf("the prefixes of a lost engine moved to only %d others", len(heirs))
	}
}

// Guards against a home in another cell that is used although the local cell has the prefix
// cached, or that is used while prompts wait there.
func TestHomeInAnotherCell(t *testing.T) {
	loads := load.NewTracker()
	a, view := newTwoCells(loads)
	for e := range view.All {
		loads.SetCapacity(e.ID, engineLimits.CacheTokens)
	}
	var req *assign.Request
	for i := uint64(0); ; i++ {
		req = prefixRequest(i, i, 10_000, 1000)
		if d := a.Assign(0, view, req); d.Target.ID == "far-p" {
			break
		}
		if i == 100 {
			t.Fatal("no prefix has its home in the other cell")
		}
	}
	far, _ := view.Find("far-p")
	a.ObserveRemoteWait(0, far, 150*time.Millisecond)
	// A generating engine may only be better because it fetches the prefix from the home.
	if d := a.Assign(0, view, req); d.Target == nil || d.Target.ID != "near-p" && (d.Target.ID != "near-g" || d.FetchSource != far) {
		t.Errorf("sent to a home where prompts wait 150 ms: %+v", d)
	}
	loads.Sent(0, load.Item{Ref: load.Ref{Target: "near-p"}, Kind: load.Prefill, Chain: req.Chain})
	loads.Finished(0, load.Ref{Target: "near-p"})
	const later = core.Instant(time.Minute)
	if d := a.Assign(later, view, req); d.Target == nil || d.Target.ID != "near-p" || d.CachedTokens != 10_000 {
		t.Errorf("not sent to the engine of the local cell that has the prefix: %+v", d)
	}
}

// prefixLoad returns Poisson arrivals whose prompts have one of n prefixes of about 10,000
// tokens and some 1,500 tokens of their own.
func prefixLoad(seed uint64, rate float64, n uint64, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 3))
	var list []arrival
	for at, serial := 0.0, uint64(0); ; serial++ {
		at += rng.ExpFloat64() / rate
		if at >= length.Seconds() {
			return list
		}
		prefix := rng.Uint64N(n)
		p := prefixRequest(prefix, serial, 5000+int(prefix*7919%10_000), 500+rng.IntN(2000)).Prompt
		list = append(list, arrival{core.Instant(at * float64(time.Second)), *p})
	}
}

// cellFleet simulates engines in three data centres. The instances of a data centre share what
// they know of the loads and caches; of other data centres they know their own sends.
type cellFleet struct {
	*fleet
	view      *roster.View
	loads     map[core.DataCentre]*load.Tracker
	assigners map[core.DataCentre]*assign.Assigner
	// cachedTokens and sharedTokens count the tokens of shared prefixes that were found cached
	// and those that were sent.
	cachedTokens, sharedTokens int
}

var threeCells = []core.DataCentre{"a", "b", "c"}

// newCellFleet returns a fleet with three prefill and two decode engines per data centre.
func newCellFleet(tuning assign.Tuning) *cellFleet {
	f := &cellFleet{
		fleet: newFleet(), loads: map[core.DataCentre]*load.Tracker{}, assigners: map[core.DataCentre]*assign.Assigner{},
	}
	var list []core.Registration
	for _, dc := range threeCells {
		for i, role := range []core.Role{core.RolePrefill, core.RolePrefill, core.RolePrefill, core.RoleDecode, core.RoleDecode} {
			id := core.TargetID(fmt.Sprint(dc, i))
			list = append(list, core.Registration{
				Target: core.Target{ID: id, Service: "models", DataCentre: dc, Role: role}, Slots: slots,
			})
			f.caches[id] = prompt.NewCacheModel(engineLimits.CacheTokens)
		}
	}
	r := roster.New(time.Second)
	r.Replace(0, 1, list)
	f.view = r.View()
	for _, dc := range threeCells {
		f.restart(dc, tuning)
	}
	return f
}

// restart replaces the instances of a data centre by ones that know nothing.
func (f *cellFleet) restart(dc core.DataCentre, tuning assign.Tuning) {
	f.loads[dc] = load.NewTracker()
	setCapacities(f.loads[dc], f.view)
	source := random.New(3)
	f.assigners[dc] = assign.New(assign.Options{
		Loads: f.loads[dc], Health: retry.NewHealth(retry.DefaultHealthOptions(), source), Random: source, Home: dc,
		Cells: fixedCells{load.NewCells(dc, map[core.DataCentre]int{"a": 20, "b": 20, "c": 20})}, Tuning: tuning,
	})
}

// send has an instance of a data centre serve a request at the given time.
func (f *cellFleet) send(now core.Instant, dc core.DataCentre, req *assign.Request, o *outcome) {
	f.advance(now)
	d := f.assigners[dc].Assign(now, f.view, req)
	if d.Target == nil {
		o.refused++
		return
	}
	f.serial++
	id := d.Target.ID
	item := load.Item{
		Ref: load.Ref{Key: load.Key{Sender: 1, Serial: f.serial}, Target: id}, Kind: d.Kind, ComputeTime: d.ComputeTime, Chain: req.Chain,
	}
	informed := []*load.Tracker{f.loads[dc]}
	if d.Target.DataCentre != dc {
		informed = append(informed, f.loads[d.Target.DataCentre])
	}
	for _, tracker := range informed {
		tracker.Sent(now, item)
	}
	cached := f.caches[id].CachedTokens(req.Chain.SharedPrefix())
	if d.FetchSource != nil {
		cached = max(cached, f.caches[d.FetchSource.ID].CachedTokens(req.Chain.SharedPrefix()))
	}
	f.cachedTokens, f.sharedTokens = f.cachedTokens+cached, f.sharedTokens+req.Chain[0].Tokens
	f.caches[id].Add(req.Chain)
	work := prompt.NewWork(req.Prompt.Tokens, cached)
	f.freeAt[id] = max(f.freeAt[id], now).Add(computeTime(work, d.Target.Role))
	heap.Push(&f.pending, completion{f.freeAt[id], func(at core.Instant) {
		for _, tracker := range informed {
			if took, ok := tracker.Finished(at, item.Ref); ok && tracker == informed[0] {
				f.assigners[dc].ObservePrompt("models", d.Kind, work, took)
			}
		}
		if at.Sub(now) <= objective {
			o.onTime++
			return
		}
		o.late++
	}})
}

// Guards against prefixes that each data centre computes for itself, although they are used too
// rarely there to stay cached, and against a restart of all instances after which the caches of
// the engines are not used. Under the heavy load a prompt that isn't cached takes engine time
// that another caller waits for.
func TestPrefixesStayCachedInFleetOfCells(t *testing.T) {
	withoutHomes := assign.DefaultTuning()
	withoutHomes.CopyWeight = 0
	for _, test := range []struct {
		rate                                float64
		leastCached, leastOnTime, leastGain float64
	}{
		// All engines together compute 240 prompts/s without cached prefixes.
		{rate: 120, leastCached: 0.7, leastOnTime: 0.98, leastGain: -0.01},
		{rate: 400, leastCached: 0.7, leastOnTime: 0.9, leastGain: 0.02},
	} {
		cached, onTime := playCells(assign.DefaultTuning(), test.rate)
		cachedWithout, onTimeWithout := playCells(withoutHomes, test.rate)
		if cached < test.leastCached || cachedWithout > test.leastCached {
			t.Errorf("rate %v: %.3f of the shared tokens were cached, %.3f without homes", test.rate, cached, cachedWithout)
		}
		if onTime < test.leastOnTime || onTime < onTimeWithout+test.leastGain {
			t.Errorf("rate %v: %.3f of the requests were on time, %.3f without homes", test.rate, onTime, onTimeWithout)
		}
	}
}

// playCells plays 20 s of requests with 240 prefixes on a fleet of three data centres, whose
// instances all restart after 12 s. It returns the shares of shared tokens that were cached and
// of requests on time.
func playCells(tuning assign.Tuning, rate float64) (cachedShare, onTimeShare float64) {
	const (
		prefixes  = 240
		length    = 20 * time.Second
		restartAt = core.Instant(12 * time.Second)
	)
	var total outcome
	cached, shared := 0, 0
	for seed := range uint64(3) {
		f := newCellFleet(tuning)
		isRestarted := false
		for i, a := range prefixLoad(seed, rate, prefixes, length) {
			if a.at >= restartAt && !isRestarted {
				isRestarted = true
				for _, dc := range threeCells {
					f.restart(dc, tuning)
				}
			}
			req := &assign.Request{
				Service: "models", Engine: engineLimits, Prompt: &a.prompt, Chain: prompt.NewChain(&a.prompt),
				Objective: objective, Remaining: maxWait,
			}
			f.send(a.at, threeCells[i%len(threeCells)], req, &total)
		}
		f.advance(core.Instant(time.Hour))
		cached, shared = cached+f.cachedTokens, shared+f.sharedTokens
	}
	return float64(cached) / float64(shared), float64(total.onTime) / float64(total.total())
}
