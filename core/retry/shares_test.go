package retry_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/membership"
	"gorseline/core/retry"
)

// The limit of the simulated fleet, by which all its retries in a window are judged.
const (
	fleetRatio  = 0.2
	fleetSlack  = 58.0
	fleetWindow = 10 * time.Second
	engines     = core.Service("engines")
)

// fleet simulates instances that share the limit on retries. Each request wants as many retries
// as its instance allows.
type fleet struct {
	rng       *rand.Rand
	instances []*retry.Shares
	// sizes are the instances' estimates of the size of the fleet.
	sizes []*membership.FleetSize
	now   time.Duration
	// requests and retries hold the times of all requests and retries.
	requests, retries []time.Duration
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 25)), instances: make([]*retry.Shares, size), sizes: make([]*membership.FleetSize, size),
	}
	for i := range f.instances {
		f.restart(i)
	}
	return f
}

// restart replaces the process of an instance, which has seen the others by its first request.
func (f *fleet) restart(i int) {
	f.instances[i] = retry.NewShares(fleetRatio, fleetSlack)
	f.sizes[i] = membership.NewFleetSize()
	f.see(i, 0, len(f.instances))
}

// see makes instance i see the instances from number first up to last, without last.
func (f *fleet) see(i, first, last int) {
	var members []membership.Record
	for n := first; n < last; n++ {
		members = append(members, membership.Record{ID: core.InstanceID(strconv.Itoa(n))})
	}
	now := core.Instant(f.now)
	f.sizes[i].ObserveMembers(now, members)
	f.instances[i].SetInstances(f.sizes[i].Count(now))
}

// run sends requests to random instances for the given time. Each wants up to wanted retries.
func (f *fleet) run(length time.Duration, wanted int) {
	const step = time.Second / 240
	for end := f.now + length; f.now < end; f.now += step {
		shares := f.instances[f.rng.IntN(len(f.instances))]
		f.requests = append(f.requests, f.now)
		shares.Deposit(engines)
		for range wanted {
			if !shares.Withdraw(engines, 1) {
				break
			}
			f.retries = append(f.retries, f.now)
		}
	}
}

// excess returns by how many retries the worst window exceeds the limit; a negative number is
// what was left. The requests of a window are those of the window itself, of the one before it
// or of the one half a window before it, whichever are most.
func (f *fleet) excess() float64 {
	worst := -fleetSlack
	for i, end := range f.retries {
		first, _ := slices.BinarySearch(f.retries, end-fleetWindow+1)
		requests := 0
		for _, shift := range []time.Duration{0, fleetWindow / 2, fleetWindow} {
			from, _ := slices.BinarySearch(f.requests, end-shift-fleetWindow+1)
			to, _ := slices.BinarySearch(f.requests, end-shift+1)
			requests = max(requests, to-from)
		}
		worst = max(worst, float64(i-first+1)-fleetRatio*float64(requests)-fleetSlack)
	}
	return worst
}

// Guards against instances that together exceed the limit because each restart grants its share
// anew: users saw it after all instances had lost power.
func TestRestartsGrantNoRetries(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 9)
		f.run(20*time.Second, 0)
		for range 3 {
			f.run(2*time.Second, 3)
			for i := range f.instances {
				f.restart(i)
			}
		}
		f.run(3*time.Second, 3)
		if excess := f.excess(); excess > 0 {
			t.Errorf("seed %d: %.1f retries beyond the limit", seed, excess)
		}
	}
}

// Guards against shares that add up to more than the limit while groups of instances don't see
// each other, because each group divides the slack by its own members.
func TestPartitionedInstancesKeepToTheLimit(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 9)
		f.run(5*time.Second, 0)
		for _, groups := range []int{3, 9, 1} {
			for i := range f.instances {
				size := len(f.instances) / groups
				f.see(i, i/size*size, i/size*size+size)
			}
			f.run(15*time.Second, 0)
			f.run(10*time.Second, 3)
		}
		if excess := f.excess(); excess > 0 {
			t.Errorf("seed %d: %.1f retries beyond the limit", seed, excess)
		}
	}
}
