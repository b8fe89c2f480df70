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

// impatient returns the deployment with deadlines of at most 10 s, so that the engines'
// time binds within a short trace.
func impatient(d Deployment) Deployment {
	d.Workloads = slices.Clone(d.Workloads)
	for i := range d.Workloads {
		d.Workloads[i].Deadline = min(d.Workloads[i].Deadline, 10*time.Second)
	}
	return d
}

// No policy may exceed the bound on any seed. The load is above the capacity, so that the
// bound is below the offered weight, which no run can exceed anyway.
func TestNoPolicyExceedsBound(t *testing.T) {
	for _, d := range Deployments() {
		d = impatient(d)
		for _, name := range []string{"Day", "Swing", "Crash", "Drained"} {
			t.Run(d.Name+name, func(t *testing.T) {
				t.Parallel()
				s := quick(t, name, 30*time.Second)
				s.Load = constantLoad(1.8)
				for seed := range uint64(2) {
					calls := newTrace(&d, s, seed)
					bound := GoodputBound(&d, s, calls)
					for _, c := range contenders {
						got := runPolicy(&d, s, calls, build(t, &d, c))
						if got.Goodput > bound*(1+1e-9) || bound > 0.98*got.Offered {
							t.Errorf("seed %d %s: goodput %v, bound %v, offered %v", seed, c.name, got.Goodput, bound, got.Offered)
						}
					}
				}
			})
		}
	}
}

// relaxation solves the linear program of the bound directly: y[i][t] is the engine time
// that request i gets in slice t.
func relaxation(t *testing.T, b *boundProblem) float64 {
	t.Helper()
	count := len(b.capacity)
	var columns []struct{ request, slice int }
	for i, r := range b.requests {
		for s := r.first; s <= r.last; s++ {
			columns = append(columns, struct{ request, slice int }{i, s})
		}
	}
	rows := count + len(b.requests)
	// One slack variable per row turns the inequalities into equations.
	a := mat.NewDense(rows, len(columns)+rows, nil)
	cost := make([]float64, len(columns)+rows)
	right := make([]float64, rows)
	for k, c := range columns {
		a.Set(c.slice, k, 1)
		a.Set(count+c.request, k, 1)
		cost[k] = -b.requests[c.request].weight / b.requests[c.request].cost
	}
	copy(right, b.capacity)
	for i, r := range b.requests {
		right[count+i] = r.cost
	}
	for row := range rows {
		a.Set(row, len(columns)+row, 1)
	}
	least, _, err := lp.Simplex(cost, a, right, 1e-9, nil)
	if err != nil {
		t.Fatal(err)
	}
	return -least
}

// The search for prices may only make the bound loose: it must never fall below the
// optimum of the linear program, and should come close to it.
func TestBoundAgainstLinearProgram(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for range 20 {
		b := &boundProblem{capacity: make([]float64, 12)}
		for s := range b.capacity {
			b.capacity[s] = 1 + r.Float64()
		}
		for range 25 {
			first := r.IntN(8)
			b.requests = append(b.requests, boundRequest{
				weight: 1 + 4*r.Float64(), cost: 0.3 + 1.2*r.Float64(), first: first, last: first + 1 + r.IntN(4),
			})
		}
		got, want := b.least(), relaxation(t, b)
		if got < want-1e-6 || got > want*1.05 {
			t.Errorf("bound %v, optimum of the relaxation %v", got, want)
		}
	}
}

// When everything fits, the bound must be the whole weight, and the test for that must
// agree with the linear program.
func TestFitsAgreesWithLinearProgram(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	seen := map[bool]int{}
	for range 60 {
		b := &boundProblem{capacity: []float64{1, 1, 0.5, 1, 1}}
		total := 0.0
		for range 8 {
			first := r.IntN(4)
			b.requests = append(b.requests, boundRequest{weight: 1, cost: 0.2 + 0.5*r.Float64(), first: first, last: first + r.IntN(5-first)})
			total++
		}
		fits := math.Abs(relaxation(t, b)-total) < 1e-6
		seen[fits]++
		if b.fits() != fits {
			t.Errorf("fits %v, linear program says %v", b.fits(), fits)
		}
	}
	if seen[true] == 0 || seen[false] == 0 {
		t.Errorf("cases are one-sided: %v", seen)
	}
}
