// Package check runs short randomized histories of leases, orders, non-repeatable calls
// and changes of the configuration under faults, over the real core/authority,
// core/operation and core/configuration, and checks what happened.
//
// Every activity of an instance is a coroutine that gives up control at each call of
// the table, of a target or of a sleep. One event queue in virtual time decides who
// runs next, so a history is determined by its seed and costs no waiting. Pauses and
// kills strike at these points, which are all the points where a process can wait.
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

// world is one history.
type world struct {
	random  *rand.Rand
	now     time.Duration // true time since the start
	events  events
	serial  uint64 // numbers events, and orders the history that is checked
	current *task
	tasks   []*task

	table     *table.Table
	instances []*instance
	targets   []*engine
	parts     []part
	faults    map[string]int
	// activity counts what the instances did, by event and by answer.
	activity map[string]int
	// intents holds each intent that was ever recorded, fences the last fence per shard.
	intents map[string]authority.Intent
	fences  map[int]uint64
	// outage is when the table answers again.
	outage time.Duration
	// quiet is set when no new faults, orders and calls are brought about.
	quiet    bool
	mutation mutation
	// second has targets that ignore fences served through a second instance.
	second bool
	// turns has all targets ignore fences and count orders (Options.UnfencedTargets).
	turns      bool
	violations []string
}

// part is one thing that histories exercise and check. A further part is added to
// newWorld.
type part interface {
	// start starts the part's activities on an instance.
	start(*instance)
	// check returns the violations found when the history has ended.
	check() []string
}

// event is something that happens at a point of true time.
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

// after runs a function d from now.
func (w *world) after(d time.Duration, run func()) {
	heap.Push(&w.events, event{at: w.now + d, serial: w.tick(), run: run})
}

// tick returns the next serial number.
func (w *world) tick() uint64 {
	w.serial++
	return w.serial
}

// runUntil runs the events up to a point of true time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) violate(text string) { w.violations = append(w.violations, text) }

// chance returns true with the given probability.
func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// between returns a random duration.
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

// killed unwinds a coroutine whose instance was killed.
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

// step lets the coroutine run until it parks again.
func (t *task) step() {
	if t.ended {
		return
	}
	if wait := t.instance.pausedUntil - t.w.now; wait > 0 {
		t.w.after(wait, func() {
			t.instance.wokeAt = t.w.now
			t.step()
		})
		return
	}
	before := t.w.current
	t.w.current = t
	_, more := t.next()
	t.w.current = before
	t.ended = !more
}

// end unwinds the coroutine.
func (t *task) end() {
	if !t.ended {
		t.ended = true
		t.stop()
	}
}

// park gives up control until the step that the caller has scheduled.
func (t *task) park() {
	if !t.yield(struct{}{}) {
		panic(killed{})
	}
}

// sleep parks the current coroutine for a time.
func (w *world) sleep(d time.Duration) {
	t := w.current
	w.after(d, t.step)
	t.park()
}

// attempts returns IDs that are unique in the history.
func (w *world) attempt() core.AttemptID {
	return core.AttemptID(formatSerial(w.tick()))
}
