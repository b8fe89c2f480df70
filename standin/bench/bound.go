package bench

import (
	"math/bits"
	"slices"
	"time"

	"gorseline/core"
)

// boundBucketWidth is the width of the time buckets of the bound.
const boundBucketWidth = 2 * time.Second

// The search for prices ends after maxBoundRounds rounds, or after a round that lowers
// the bound by less than the fraction minBoundGain.
const (
	maxBoundRounds = 12
	minBoundGain   = 1e-4
)

// GoodputBound returns an upper bound of the weighted goodput of any policy on a trace.
// It also holds for policies that know the trace in advance and change roles instantly
// and at no cost.
//
// The bound relaxes the problem to engine time alone. A model request that is answered
// in time needs at least cost engine-seconds between its arrival and its deadline: the
// time of its unique prompt tokens at the full prefill rate, with the shared prefix
// cached, and for each output token its share of a decode step with a full batch. All
// requests together get at most capacity[t] engine-seconds in time bucket t, which is the
// time of the engines that are up. With the answered fraction of each request as the
// variables, this is a linear program. For any prices p[t] >= 0 per engine-second, weak
// duality gives
//
//	goodput <= sum over t of p[t]*capacity[t]
//	         + sum over requests of max(0, weight - cost * minimum p within its window).
//
// The search chooses only the prices, so a bad choice makes the bound loose but never
// invalid. Requests that even an idle fleet can't answer in time contribute nothing, and
// calls of plain services always contribute their full weight.
func GoodputBound(d *Deployment, s *Scenario, calls []call) float64 {
	b := newBoundProblem(d, s, calls)
	return b.fixedWeight + b.minimise()
}

// minimise returns the dual objective at the best prices that the search finds.
func (b *boundProblem) minimise() float64 {
	b.groupRequests()
	prices := make([]float64, len(b.capacity))
	lowest := b.dualValue(prices)
	if b.allFit() {
		return lowest // prices of zero are optimal when all requests fit
	}
	for range maxBoundRounds {
		previous := lowest
		lowest = b.improvePrices(prices, lowest)
		if lowest > previous*(1-minBoundGain) {
			break
		}
	}
	return lowest
}

// boundRequest is a model request in the relaxation.
type boundRequest struct {
	weight float64
	// cost is the minimum engine time that the request needs, in seconds.
	cost float64
	// first and last are the first and the last time bucket of the request's window, which
	// extends from its arrival to its deadline.
	first, last int
}

// boundProblem is the linear program of the bound.
type boundProblem struct {
	// capacity is the engine time of each time bucket, in engine-seconds.
	capacity []float64
	requests []boundRequest
	// fixedWeight is the total weight of the calls that need no engine time.
	fixedWeight float64
	// groups are the requests grouped by weight and window, so that dualValue visits each
	// group and not each request.
	groups []boundGroup
}

// boundGroup is a set of requests with equal weight and window. Its costs are sorted,
// and costSums[n] is the sum of the n smallest.
type boundGroup struct {
	weight          float64
	first, last     int
	costs, costSums []float64
}

// groupRequests collects the requests into groups, in the order of the first request of
// each group.
func (b *boundProblem) groupRequests() {
	type key struct {
		weight      float64
		first, last int
	}
	indexes := map[key]int{}
	for _, r := range b.requests {
		k := key{r.weight, r.first, r.last}
		index, ok := indexes[k]
		if !ok {
			index = len(b.groups)
			indexes[k] = index
			b.groups = append(b.groups, boundGroup{weight: r.weight, first: r.first, last: r.last})
		}
		b.groups[index].costs = append(b.groups[index].costs, r.cost)
	}
	for i := range b.groups {
		g := &b.groups[i]
		slices.Sort(g.costs)
		g.costSums = make([]float64, len(g.costs)+1)
		for n, cost := range g.costs {
			g.costSums[n+1] = g.costSums[n] + cost
		}
	}
}

// surplus returns the sum of max(0, weight - cost*price) over the group.
func (g *boundGroup) surplus(price float64) float64 {
	n := len(g.costs)
	if price > 0 {
		n, _ = slices.BinarySearch(g.costs, g.weight/price)
	}
	return float64(n)*g.weight - price*g.costSums[n]
}

func newBoundProblem(d *Deployment, s *Scenario, calls []call) *boundProblem {
	b := &boundProblem{}
	var last core.Instant
	for i := range calls {
		c := &calls[i]
		last = max(last, c.Deadline)
		if c.Service != "" {
			b.fixedWeight += c.Kind.Weight
			continue
		}
		if !d.feasible(c) {
			continue
		}
		b.requests = append(b.requests, boundRequest{
			weight: c.Kind.Weight,
			cost:   d.minEngineTime(&d.Workloads[c.workload], float64(c.uniqueTokens), float64(c.actualOutput)),
			first:  bucketOf(c.Arrived), last: bucketOf(c.Deadline),
		})
	}
	b.capacity = make([]float64, bucketOf(last)+1)
	for t := range b.capacity {
		b.capacity[t] = float64(len(d.Engines)) * boundBucketWidth.Seconds()
	}
	for _, o := range s.Crashes {
		b.subtractEngine(s.timeAt(o.From), s.timeAt(o.To))
	}
	for _, o := range s.Drains {
		// A drained engine still completes its requests. None of them can be
		// answered in time after the longest deadline.
		b.subtractEngine(s.timeAt(o.From).Add(d.longestDeadline()), s.timeAt(o.To))
	}
	return b
}

func bucketOf(at core.Instant) int { return int(time.Duration(at) / boundBucketWidth) }

// subtractEngine reduces the capacity by the time of one engine.
func (b *boundProblem) subtractEngine(from, to core.Instant) {
	for t := range b.capacity {
		start := core.Instant(t) * core.Instant(boundBucketWidth)
		overlap := min(to, start.Add(boundBucketWidth)).Sub(max(from, start))
		b.capacity[t] -= max(0, overlap).Seconds()
	}
}

// longestDeadline returns the longest deadline of the model requests.
func (d *Deployment) longestDeadline() time.Duration {
	var longest time.Duration
	for i := range d.Workloads {
		if w := &d.Workloads[i]; w.Service == "" {
			longest = max(longest, w.Deadline)
		}
	}
	return longest
}

// feasible reports whether idle engines could meet all time limits of a request.
func (d *Deployment) feasible(c *call) bool {
	m := &d.EngineModel
	prompt := seconds(float64(c.uniqueTokens) / m.PrefillRate)
	step := seconds(m.stepTime(1))
	total := 2*d.Latency + prompt + time.Duration(c.actualOutput)*step
	return total <= c.Kind.Deadline &&
		(c.Kind.FirstToken == 0 || d.Latency+prompt <= c.Kind.FirstToken) &&
		(c.Kind.BetweenTokens == 0 || step <= c.Kind.BetweenTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// allFit reports whether the capacity suffices for all requests. It uses earliest
// deadline first, which finds a schedule whenever one exists.
func (b *boundProblem) allFit() bool {
	remaining := make([]float64, len(b.requests))
	byStart := make([]int, len(b.requests))
	for i := range b.requests {
		remaining[i], byStart[i] = b.requests[i].cost, i
	}
	slices.SortFunc(byStart, func(i, j int) int { return b.requests[i].first - b.requests[j].first })
	var open []int
	for t, capacity := range b.capacity {
		for len(byStart) > 0 && b.requests[byStart[0]].first <= t {
			open = append(open, byStart[0])
			byStart = byStart[1:]
		}
		slices.SortFunc(open, func(i, j int) int { return b.requests[i].last - b.requests[j].last })
		for len(open) > 0 && capacity > 0 {
			served := min(capacity, remaining[open[0]])
			capacity -= served
			if remaining[open[0]] -= served; remaining[open[0]] <= 0 {
				open = open[1:]
			}
		}
		if len(open) > 0 && b.requests[open[0]].last <= t {
			return false
		}
	}
	return true
}

// dualValue returns the dual objective at the given prices.
func (b *boundProblem) dualValue(prices []float64) float64 {
	total := 0.0
	for t, p := range prices {
		total += p * b.capacity[t]
	}
	minima := newRangeMinima(prices)
	for i := range b.groups {
		g := &b.groups[i]
		total += g.surplus(minima.min(g.first, g.last))
	}
	return total
}

// improvePrices raises or lowers the prices over intervals of buckets, from long to short
// ones, and returns the lowest dual value. A request uses the cheapest bucket of its
// window, so changing the price of a single bucket wouldn't improve the value.
func (b *boundProblem) improvePrices(prices []float64, lowest float64) float64 {
	n := len(prices)
	steps := b.priceSteps()
	trial := slices.Clone(prices)
	for width := n; width >= max(1, n/64); width /= 2 {
		for start := 0; start+width <= n; start += max(1, width/4) {
			for _, step := range steps {
				copy(trial, prices)
				for t := start; t < start+width; t++ {
					trial[t] = max(0, trial[t]+step)
				}
				if v := b.dualValue(trial); v < lowest {
					lowest = v
					copy(prices, trial)
				}
			}
		}
	}
	return lowest
}

// priceSteps returns price changes relative to the median weight per cost of the requests.
func (b *boundProblem) priceSteps() []float64 {
	var densities []float64
	for i := range b.requests {
		densities = append(densities, b.requests[i].weight/b.requests[i].cost)
	}
	if len(densities) == 0 {
		return nil
	}
	slices.Sort(densities)
	median := densities[len(densities)/2]
	var steps []float64
	for _, fraction := range []float64{1, 0.3, 0.1, 0.03, 0.01} {
		steps = append(steps, fraction*median, -fraction*median)
	}
	return steps
}

// rangeMinima is a sparse table that returns the minimum of a range in constant time.
type rangeMinima [][]float64

func newRangeMinima(values []float64) rangeMinima {
	table := rangeMinima{values}
	for half := 1; 2*half <= len(values); half *= 2 {
		previous := table[len(table)-1]
		row := make([]float64, len(previous)-half)
		for i := range row {
			row[i] = min(previous[i], previous[i+half])
		}
		table = append(table, row)
	}
	return table
}

// min returns the minimum from first to last inclusive.
func (t rangeMinima) min(first, last int) float64 {
	level := bits.Len(uint(last-first+1)) - 1
	return min(t[level][first], t[level][last+1-1<<level])
}
