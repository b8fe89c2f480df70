package bench

import "gorseline/core"

// event is an action at a virtual time. seq is its position in the order of scheduling.
type event struct {
	time   core.Instant
	seq    uint64
	action func()
}

// eventQueue is a binary heap of events with the virtual clock. Events at the same time run
// in the order in which they were scheduled, so that equal seeds give equal runs.
type eventQueue struct {
	now       core.Instant
	scheduled uint64
	events    []event
}

// schedule adds an event. A time in the past counts as now.
func (q *eventQueue) schedule(when core.Instant, action func()) {
	q.scheduled++
	q.events = append(q.events, event{time: max(when, q.now), seq: q.scheduled, action: action})
	for i := len(q.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.events[i].before(&q.events[parent]) {
			break
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

func (e *event) before(f *event) bool { return e.time < f.time || e.time == f.time && e.seq < f.seq }

// step runs the next event. It returns false if there is none.
func (q *eventQueue) step() bool {
	if len(q.events) == 0 {
		return false
	}
	next := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	for i := 0; ; {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.events[child].before(&q.events[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			break
		}
		q.events[i], q.events[earliest] = q.events[earliest], q.events[i]
		i = earliest
	}
	q.now = next.time
	next.action()
	return true
}
