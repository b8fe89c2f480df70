// Package check runs short randomized histories of leases, orders, non-repeatable calls
// and configuration changes under faults. The histories use the real core/authority,
// core/operation and core/configuration, and are checked for linearizability and
// invariants.
//
// Every activity of an instance is a coroutine that yields at each call of the table or a
// target and at each sleep. One event queue in virtual time schedules the coroutines, so
// a history is determined by its seed and takes no real waiting time. Pauses and kills
// take effect at the points where coroutines yield, which are all the points where a
// process can wait.
package check

import (
	"container/heap"
	"iter"
	"math/rand/v2"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/standin/table"
)

// world is the simulation of one history: virtual time, the fleet, the faults and what the
// checks need.
type world struct {
	random  *rand.Rand
	now     time.Duration // true time (virtual) since the start
	events  events
	serial  uint64 // logical clock, which orders events and the operations of histories
	current *task
	tasks   []*task

	table     *table.Table
	instances []*instance
	targets   []*engine
	workloads []workload
	faults    map[string]int
	// activity counts the events and outcomes of the instances by name.
	activity map[string]int
	// intents holds every recorded intent, and lastFences the last acquired fence by shard.
	intents    map[string]authority.Intent
	lastFences map[int]uint64
	// outageUntil is the end of an outage of the table.
	outageUntil time.Duration
	// recovering is set in the last phase, which has no new faults, orders and calls.
	recovering bool
	mutation   mutation
	// peerForwarding sends orders for targets that don't check fences through a peer.
	peerForwarding bool
	// unfencedTargets makes all targets count orders and not check fences
	// (Options.UnfencedTargets).
	unfencedTargets bool
	violations      []string
	// eras makes the table go back to one of its latest copies at times (Options.Eras).
	eras   bool
	copies []table.Copy
	// usage is the platform's API in histories of usage reports (Options.Usage). killAfterFix kills the
	// next instance that fixes a report, loseFix loses its transaction, and goBackAfterCall makes the
	// table go back after the next accepted report.
	usage                                  *usageAPI
	killAfterFix, loseFix, goBackAfterCall bool
}

// workload generates the activity of one area of the system and checks the result. A new
// workload is added to newWorld.
type workload interface {
	// start starts the activities of the workload on an instance.
	start(*instance)
	// check returns the violations at the end of a history.
	check() []string
}

// event is a function that runs at a point of true time. Events with the same time run in
// the order of their serial numbers.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event; it is for container/heap.
func (e *events) Push(v any) { *e = append(*e, v.(event)) }

// Pop removes the last event; it is for container/heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules a function to run after d.
func (w *world) after(d time.Duration, run func()) {
	heap.Push(&w.events, event{at: w.now + d, serial: w.tick(), run: run})
}

// tick advances the logical clock and returns its new value.
func (w *world) tick() uint64 {
	w.serial++
	return w.serial
}

// runUntil runs the events up to and including a point of true time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) reportViolation(text string) { w.violations = append(w.violations, text) }

// chance returns true with the given probability.
func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// between returns a random duration from low to high, both inclusive.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// task is a coroutine of an instance.
type task struct {
	w        *world
	instance *instance
	next     func() (struct{}, bool)
	stop     func()
	yield    func(struct{}) bool
	ended    bool
}

// killed is the panic value that unwinds a coroutine whose instance was killed.
type killed struct{}

// spawn starts a coroutine on an instance.
func (w *world) spawn(i *instance, run func()) {
	t := &task{w: w, instance: i}
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			if cause := recover(); cause != nil {
				if _, ok := cause.(killed); !ok {
					panic(cause)
				}
			}
		}()
		run()
	})
	w.tasks = append(w.tasks, t)
	i.tasks = append(i.tasks, t)
	w.after(0, t.step)
}

// step runs the coroutine until it parks again. If its instance is paused, the step is
// postponed to the end of the pause.
func (t *task) step() {
	if t.ended {
		return
	}
	if wait := t.instance.pausedUntil - t.w.now; wait > 0 {
		t.w.after(wait, func() {
			t.instance.resumedAt = t.w.now
			t.step()
		})
		return
	}
	previous := t.w.current
	t.w.current = t
	_, more := t.next()
	t.w.current = previous
	t.ended = !more
}

// end unwinds the coroutine.
func (t *task) end() {
	if !t.ended {
		t.ended = true
		t.stop()
	}
}

// park yields until the next step, which the caller has scheduled.
func (t *task) park() {
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
}

// sleep parks the current coroutine for d.
func (w *world) sleep(d time.Duration) {
	t := w.current
	w.after(d, t.step)
	t.park()
}

// newAttemptID returns an ID that is unique in the history.
func (w *world) newAttemptID() core.AttemptID {
	return core.AttemptID(formatSerial(w.tick()))
}
