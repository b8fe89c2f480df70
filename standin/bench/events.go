package bench

import "gorseline/core"

// event is one thing that happens at a moment of virtual time.
type event struct {
	at  core.Instant
	seq uint64
	do  func()
}

// agenda orders events by time and then by the order in which they were planned,
// so that equal seeds give equal runs.
type agenda struct {
	now     core.Instant
	planned uint64
	events  []event
}

func (a *agenda) at(when core.Instant, do func()) {
	a.planned++
	a.events = append(a.events, event{at: max(when, a.now), seq: a.planned, do: do})
	for i := len(a.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !a.events[i].before(&a.events[parent]) {
			break
		}
		a.events[i], a.events[parent] = a.events[parent], a.events[i]
		i = parent
	}
}

func (e *event) before(f *event) bool { return e.at < f.at || e.at == f.at && e.seq < f.seq }

// step carries out the next event and reports false when none is left.
func (a *agenda) step() bool {
	if len(a.events) == 0 {
		return false
	}
	next := a.events[0]
	last := len(a.events) - 1
	a.events[0] = a.events[last]
	a.events[last] = event{}
	a.events = a.events[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if a.events[child].before(&a.events[least]) {
				least = child
			}
		}
		if least == i {
			break
		}
		a.events[i], a.events[least] = a.events[least], a.events[i]
		i = least
	}
	a.now = next.at
	next.do()
	return true
}
