package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// placeGreedily solves the linear program of the bound exactly. The work that fits into
// the slices is a polymatroid, so serving the greatest weight per cost first is optimal.
// By Hall's condition a request can take the least room of all intervals that contain its
// window.
func placeGreedily(b *boundProblem) float64 {
	n := len(b.capacity)
	room := make([][]float64, n)
	for s := range room {
		room[s] = make([]float64, n)
		sum := 0.0
		for e := s; e < n; e++ {
			sum += b.capacity[e]
			room[s][e] = sum
		}
	}
	order := slices.Clone(b.requests)
	slices.SortFunc(order, func(p, q boundRequest) int { return cmp.Compare(q.weight/q.cost, p.weight/p.cost) })
	total := 0.0
	for _, r := range order {
		served := r.cost
		for s := 0; s <= r.first; s++ {
			served = min(served, slices.Min(room[s][r.last:]))
		}
		served = max(0, served)
		for s := 0; s <= r.first; s++ {
			for e := r.last; e < n; e++ {
				room[s][e] -= served
			}
		}
		total += r.weight * served / r.cost
	}
	return total
}

// The greedy optimum is the measure of the next test, so it must agree with the solver.
func TestGreedyAgreesWithLinearProgram(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 20 {
		b := &boundProblem{capacity: []float64{1, 1, 0.5, 1, 1.2, 1}}
		for range 14 {
			first := r.IntN(5)
			b.requests = append(b.requests, boundRequest{
				weight: 1 + 4*r.Float64(), cost: 0.3 + r.Float64(), first: first, last: first + r.IntN(6-first),
			})
		}
		if got, want := placeGreedily(b), relaxation(t, b); math.Abs(got-want) > 1e-6 {
			t.Errorf("greedy %v, linear program %v", got, want)
		}
	}
}

// On an overloaded trace the search for prices may lose at most half a percent of the
// optimum of the relaxation, and may never fall below it.
func TestBoundIsTightUnderOverload(t *testing.T) {
	for _, d := range Deployments() {
		s := quick(t, "Overload", 3*time.Minute)
		s.Load = constantLoad(1.8)
		b := newBoundProblem(&d, s, newTrace(&d, s, 1))
		got, want, offered := b.least(), placeGreedily(b), 0.0
		for _, r := range b.requests {
			offered += r.weight
		}
		if got < want*(1-1e-9) || got > want*1.005 || want > 0.98*offered {
			t.Errorf("%s: bound %v, optimum of the relaxation %v, offered %v", d.Name, got, want, offered)
		}
	}
}
