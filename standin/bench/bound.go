package bench

import (
	"math/bits"
	"slices"
	"time"

	"gorseline/core"
)

// boundSlice is the width of the intervals that the bound divides time into.
const boundSlice = 2 * time.Second

// The search for prices ends after boundRounds rounds, or after one that lowers the
// bound by less than the part boundGain.
const (
	boundRounds = 12
	boundGain   = 1e-4
)

// GoodputBound returns the weighted goodput that no policy can exceed on a trace, even if it
// knows the trace in advance and changes roles at once and for free.
//
// It relaxes the problem to engine time alone. A model request that is answered in
// time needs at least cost engine-seconds between its arrival and its deadline:
// its own prompt at the full prefill rate with the shared prefix cached, and each
// token at its share of a decode step with a full batch. All requests together
// get at most capacity[t] engine-seconds in slice t: the engines that are up. With
// x the answered part of each request this is a linear program, and for any prices
// p[t] >= 0 per engine-second weak duality gives
//
//	goodput <= sum over t of p[t]*capacity[t]
//	         + sum over requests of max(0, weight - cost * least p within its window).
//
// The search below only chooses the prices: a bad choice makes the bound loose, never
// wrong. Requests that even an idle fleet can't answer in time count as nothing, and
// calls of plain services always count.
func GoodputBound(d *Deployment, s *Scenario, calls []call) float64 {
	b := newBoundProblem(d, s, calls)
	return b.fixed + b.least()
}

// least returns the dual objective at the best prices that were found.
func (b *boundProblem) least() float64 {
	b.group()
	prices := make([]float64, len(b.capacity))
	best := b.value(prices)
	if b.fits() {
		return best // free engine time is optimal when all requests fit
	}
	for range boundRounds {
		before := best
		best = b.searchIntervals(prices, best)
		if best > before*(1-boundGain) {
			break
		}
	}
	return best
}

// boundRequest is a model request in the relaxation; first and last are the slices
// of its window.
type boundRequest struct {
	weight, cost float64
	first, last  int
}

type boundProblem struct {
	capacity []float64
	requests []boundRequest
	// fixed is the weight of the calls that need no engine time.
	fixed float64
	// groups are the requests by weight and window, for value.
	groups []boundGroup
}

// boundGroup is a set of requests with equal weight and window. Its costs are sorted,
// and sums[n] is the sum of the n smallest.
type boundGroup struct {
	weight      float64
	first, last int
	costs, sums []float64
}

// group collects the requests into groups, in a fixed order.
func (b *boundProblem) group() {
	type key struct {
		weight      float64
		first, last int
	}
	positions := map[key]int{}
	for _, r := range b.requests {
		k := key{r.weight, r.first, r.last}
		at, found := positions[k]
		if !found {
			at = len(b.groups)
			positions[k] = at
			b.groups = append(b.groups, boundGroup{weight: r.weight, first: r.first, last: r.last})
		}
		b.groups[at].costs = append(b.groups[at].costs, r.cost)
	}
	for i := range b.groups {
		g := &b.groups[i]
		slices.Sort(g.costs)
		g.sums = make([]float64, len(g.costs)+1)
		for n, cost := range g.costs {
			g.sums[n+1] = g.sums[n] + cost
		}
	}
}

// surplus is the sum of max(0, weight - cost*price) over the group.
func (g *boundGroup) surplus(price float64) float64 {
	n := len(g.costs)
	if price > 0 {
		n, _ = slices.BinarySearch(g.costs, g.weight/price)
	}
	return float64(n)*g.weight - price*g.sums[n]
}

func newBoundProblem(d *Deployment, s *Scenario, calls []call) *boundProblem {
	b := &boundProblem{}
	var last core.Instant
	for i := range calls {
		c := &calls[i]
		last = max(last, c.Deadline)
		if c.Service != "" {
			b.fixed += c.Kind.Weight
			continue
		}
		if !d.feasible(c) {
			continue
		}
		b.requests = append(b.requests, boundRequest{
			weight: c.Kind.Weight,
			cost:   d.engineTime(&d.Workloads[c.workload], float64(c.own), float64(c.output)),
			first:  sliceOf(c.Arrived), last: sliceOf(c.Deadline),
		})
	}
	b.capacity = make([]float64, sliceOf(last)+1)
	for t := range b.capacity {
		b.capacity[t] = float64(len(d.Engines)) * boundSlice.Seconds()
	}
	for _, o := range s.Crashes {
		b.subtract(s.moment(o.From), s.moment(o.To))
	}
	for _, o := range s.Drains {
		// A withdrawn engine finishes what it has; nothing that it was given
		// before can be answered in time after the longest deadline.
		b.subtract(s.moment(o.From).Add(d.longestDeadline()), s.moment(o.To))
	}
	return b
}

func sliceOf(at core.Instant) int { return int(time.Duration(at) / boundSlice) }

// subtract takes the time of one engine away.
func (b *boundProblem) subtract(from, to core.Instant) {
	for t := range b.capacity {
		start := core.Instant(t) * core.Instant(boundSlice)
		overlap := min(to, start.Add(boundSlice)).Sub(max(from, start))
		b.capacity[t] -= max(0, overlap).Seconds()
	}
}

func (d *Deployment) longestDeadline() time.Duration {
	var longest time.Duration
	for i := range d.Workloads {
		if w := &d.Workloads[i]; w.Service == "" {
			longest = max(longest, w.Deadline)
		}
	}
	return longest
}

// feasible reports whether idle engines could answer a request in time.
func (d *Deployment) feasible(c *call) bool {
	m := &d.EngineModel
	prompt := seconds(float64(c.own) / m.PrefillRate)
	step := seconds(m.stepTime(1))
	total := 2*d.Latency + prompt + time.Duration(c.output)*step
	return total <= c.Kind.Deadline &&
		(c.Kind.FirstToken == 0 || d.Latency+prompt <= c.Kind.FirstToken) &&
		(c.Kind.BetweenTokens == 0 || step <= c.Kind.BetweenTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fits reports whether the relaxation has room for all requests. Serving the earliest
// deadline first finds such a schedule whenever there is one.
func (b *boundProblem) fits() bool {
	left := make([]float64, len(b.requests))
	order := make([]int, len(b.requests))
	for i := range b.requests {
		left[i], order[i] = b.requests[i].cost, i
	}
	slices.SortFunc(order, func(i, j int) int { return b.requests[i].first - b.requests[j].first })
	var open []int
	for t, capacity := range b.capacity {
		for len(order) > 0 && b.requests[order[0]].first <= t {
			open = append(open, order[0])
			order = order[1:]
		}
		slices.SortFunc(open, func(i, j int) int { return b.requests[i].last - b.requests[j].last })
		for len(open) > 0 && capacity > 0 {
			served := min(capacity, left[open[0]])
			capacity -= served
			if left[open[0]] -= served; left[open[0]] <= 0 {
				open = open[1:]
			}
		}
		if len(open) > 0 && b.requests[open[0]].last <= t {
			return false
		}
	}
	return true
}

// value is the dual objective at the given prices.
func (b *boundProblem) value(prices []float64) float64 {
	total := 0.0
	for t, p := range prices {
		total += p * b.capacity[t]
	}
	tree := newMinimumTable(prices)
	for i := range b.groups {
		g := &b.groups[i]
		total += g.surplus(tree.least(g.first, g.last))
	}
	return total
}

// searchIntervals improves the prices by raising or lowering them over intervals of
// slices, from long to short ones, and returns the best value. A request evades a
// price that doesn't cover its window, so single slices would not improve anything.
func (b *boundProblem) searchIntervals(prices []float64, best float64) float64 {
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
				if v := b.value(trial); v < best {
					best = v
					copy(prices, trial)
				}
			}
		}
	}
	return best
}

// priceSteps returns price changes on the scale of the requests' weight per cost.
func (b *boundProblem) priceSteps() []float64 {
	var density []float64
	for i := range b.requests {
		density = append(density, b.requests[i].weight/b.requests[i].cost)
	}
	if len(density) == 0 {
		return nil
	}
	slices.Sort(density)
	middle := density[len(density)/2]
	var steps []float64
	for _, part := range []float64{1, 0.3, 0.1, 0.03, 0.01} {
		steps = append(steps, part*middle, -part*middle)
	}
	return steps
}

// minimumTable answers range minima in constant time (sparse table).
type minimumTable [][]float64

func newMinimumTable(values []float64) minimumTable {
	table := minimumTable{values}
	for width := 1; 2*width <= len(values); width *= 2 {
		below := table[len(table)-1]
		row := make([]float64, len(below)-width)
		for i := range row {
			row[i] = min(below[i], below[i+width])
		}
		table = append(table, row)
	}
	return table
}

// least returns the minimum from first to last, both included.
func (t minimumTable) least(first, last int) float64 {
	level := bits.Len(uint(last-first+1)) - 1
	return min(t[level][first], t[level][last+1-1<<level])
}
