package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// solveGreedily solves the linear program of the bound exactly. The feasible amounts of work
// form a polymatroid, so serving the requests by descending weight per cost is optimal. By
// Hall's condition a request can be served up to the smallest free capacity of all
// intervals that contain its window.
func solveGreedily(b *boundProblem) float64 {
	n := len(b.capacity)
	// free[s][e] is the unused capacity from bucket s to bucket e inclusive.
	free := make([][]float64, n)
	for s := range free {
		free[s] = make([]float64, n)
		sum := 0.0
		for e := s; e < n; e++ {
			sum += b.capacity[e]
			free[s][e] = sum
		}
	}
	order := slices.Clone(b.requests)
	slices.SortFunc(order, func(p, q boundRequest) int { return cmp.Compare(q.weight/q.cost, p.weight/p.cost) })
	total := 0.0
	for _, r := range order {
		served := r.cost
		for s := 0; s <= r.first; s++ {
			served = min(served, slices.Min(free[s][r.last:]))
		}
		served = max(0, served)
		for s := 0; s <= r.first; s++ {
			for e := r.last; e < n; e++ {
				free[s][e] -= served
			}
		}
		total += r.weight * served / r.cost
	}
	return total
}

// TestBoundIsTightUnderOverload relies on the greedy optimum. An error in it, which the
// comparison with the simplex method shows, would make that test meaningless.
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
		if got, want := solveGreedily(b), solveRelaxation(t, b); math.Abs(got-want) > 1e-6 {
			t.Errorf("greedy %v, linear program %v", got, want)
		}
	}
}

// A search for prices that stops too early on an overloaded trace makes the bound loose and
// every policy look worse than it is. The bound may exceed the optimum of the relaxation by
// at most half a percent and must not be below it.
func TestBoundIsTightUnderOverload(t *testing.T) {
	for _, d := range Deployments() {
		s := shortScenario(t, "Overload", 3*time.Minute)
		s.Load = constantLoad(1.8)
		b := newBoundProblem(&d, s, newTrace(&d, s, 1))
		got, want, offered := b.minimise(), solveGreedily(b), 0.0
		for _, r := range b.requests {
			offered += r.weight
		}
		if got < want*(1-1e-9) || got > want*1.005 || want > 0.98*offered {
			t.Errorf("%s: bound %v, optimum of the relaxation %v, offered %v", d.Name, got, want, offered)
		}
	}
}
