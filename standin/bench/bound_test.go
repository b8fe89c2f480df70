package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// withShortDeadlines limits the deadlines to 10 s, so that engine time limits the goodput
// within a short trace.
func withShortDeadlines(d Deployment) Deployment {
	d.Workloads = slices.Clone(d.Workloads)
	for i := range d.Workloads {
		d.Workloads[i].Deadline = min(d.Workloads[i].Deadline, 10*time.Second)
	}
	return d
}

// A bound that overestimates the engine time of a request would be lower than the goodput of
// some policy. The load exceeds the capacity, so that the bound is below the offered
// weight, which no run can exceed.
func TestNoPolicyExceedsBound(t *testing.T) {
	for _, d := range Deployments() {
		d = withShortDeadlines(d)
		for _, name := range []string{"Day", "Swing", "Crash", "Drained"} {
			t.Run(d.Name+name, func(t *testing.T) {
				t.Parallel()
				s := shortScenario(t, name, 30*time.Second)
				s.Load = constantLoad(1.8)
				for seed := range uint64(2) {
					calls := newTrace(&d, s, seed)
					bound := GoodputBound(&d, s, calls)
					for _, c := range candidates {
						got := runPolicy(&d, s, calls, newTestPolicy(t, &d, c))
						if got.Goodput > bound*(1+1e-9) || bound > 0.98*got.Offered {
							t.Errorf("seed %d %s: goodput %v, bound %v, offered %v", seed, c.name, got.Goodput, bound, got.Offered)
						}
					}
				}
			})
		}
	}
}

// solveRelaxation solves the linear program of the bound with the simplex method. Its
// variables are the engine time that each request gets in each time bucket.
func solveRelaxation(t *testing.T, b *boundProblem) float64 {
	t.Helper()
	buckets := len(b.capacity)
	var columns []struct{ request, bucket int }
	for i, r := range b.requests {
		for bucket := r.first; bucket <= r.last; bucket++ {
			columns = append(columns, struct{ request, bucket int }{i, bucket})
		}
	}
	rows := buckets + len(b.requests)
	// One slack variable per row turns the inequalities into equations.
	a := mat.NewDense(rows, len(columns)+rows, nil)
	cost := make([]float64, len(columns)+rows)
	right := make([]float64, rows)
	for k, c := range columns {
		a.Set(c.bucket, k, 1)
		a.Set(buckets+c.request, k, 1)
		cost[k] = -b.requests[c.request].weight / b.requests[c.request].cost
	}
	copy(right, b.capacity)
	for i, r := range b.requests {
		right[buckets+i] = r.cost
	}
	for row := range rows {
		a.Set(row, len(columns)+row, 1)
	}
	minimum, _, err := lp.Simplex(cost, a, right, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return -minimum
}

// Any prices give a valid bound, so a value below the optimum of the linear program shows
// an error in the dual objective. A value far above the optimum shows that the search for
// prices stops too early.
func TestBoundAgainstLinearProgram(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for range 20 {
		b := &boundProblem{capacity: make([]float64, 12)}
		for bucket := range b.capacity {
			b.capacity[bucket] = 1 + r.Float64()
		}
		for range 25 {
			first := r.IntN(8)
			b.requests = append(b.requests, boundRequest{
				weight: 1 + 4*r.Float64(), cost: 0.3 + 1.2*r.Float64(), first: first, last: first + 1 + r.IntN(4),
			})
		}
		got, want := b.minimise(), solveRelaxation(t, b)
		if got < want-1e-6 || got > want*1.05 {
			t.Errorf("bound %v, optimum of the relaxation %v", got, want)
		}
	}
}

// The bound is the whole weight exactly when all requests fit. A wrong result of allFit
// would end the search for prices too early or start it without need.
func TestAllFitAgreesWithLinearProgram(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	cases := map[bool]int{}
	for range 60 {
		b := &boundProblem{capacity: []float64{1, 1, 0.5, 1, 1}}
		total := 0.0
		for range 8 {
			first := r.IntN(4)
			b.requests = append(b.requests, boundRequest{weight: 1, cost: 0.2 + 0.5*r.Float64(), first: first, last: first + r.IntN(5-first)})
			total++
		}
		fits := math.Abs(solveRelaxation(t, b)-total) < 1e-6
		cases[fits]++
		if b.allFit() != fits {
			t.Errorf("allFit returns %v, linear program %v", b.allFit(), fits)
		}
	}
	if cases[true] == 0 || cases[false] == 0 {
		t.Errorf("not both outcomes occurred: %v", cases)
	}
}
