package check

import (
	"slices"
	"time"
)

// Length of a history: the time of faults, and the time in which everything must
// settle afterwards. A takeover takes up to two leases for the lowest rank, a watch,
// the order lifetime and the change itself; engines then need a few reports.
const (
	faultTime = 60 * time.Second
	quietTime = 100 * time.Second
)

// fault brings about one failure.
type fault struct {
	name string
	run  func(*world)
}

var allFaults = []fault{
	{"Kill", (*world).killOne},
	{"Leave", (*world).leaveOne},
	{"Pause", func(w *world) { w.pauseOne(w.between(100*time.Millisecond, 8*time.Second), "Pause") }},
	{"PausePastLease", func(w *world) { w.pauseOne(w.between(16*time.Second, 45*time.Second), "PausePastLease") }},
	{"PauseBeforeWrite", func(w *world) { w.pick().pauseBeforeWrite = w.between(time.Second, 40*time.Second) }},
	{"Partition", (*world).cutOne},
	{"PartitionFromTargets", (*world).muteOne},
	{"AnswerLost", func(w *world) { w.pick().loseAnswers += 1 + w.random.IntN(3) }},
	{"Outage", (*world).outageAll},
	{"ReplyLost", func(w *world) { w.pick().loseReplies += 1 + w.random.IntN(3) }},
	{"LateWrite", func(w *world) { w.pick().lateWrites++ }},
	{"EngineCrash", func(w *world) { w.targets[w.random.IntN(engines)].crash() }},
	{"PauseInWrite", func(w *world) { w.pick().pauseInWrite = w.between(3*time.Second, 40*time.Second) }},
}

// turnFaults are those that only targets without fences bring about (Options.UnfencedTargets).
var turnFaults = append(slices.Clone(allFaults), fault{
	"OrderLate", func(w *world) { w.targets[w.random.IntN(engines)].lateOrders += 1 + w.random.IntN(2) },
})

// planFaults draws the faults of a history. Two of five come with a second one at the
// same time.
func (w *world) planFaults() {
	faults := allFaults
	if w.turns {
		faults = turnFaults
	}
	for range 1 + w.random.IntN(4) {
		at := w.between(2*time.Second, faultTime)
		first := faults[w.random.IntN(len(faults))]
		w.after(at, func() { first.run(w) })
		if w.chance(0.4) {
			second := faults[w.random.IntN(len(faults))]
			w.after(at+w.between(0, 50*time.Millisecond), func() {
				second.run(w)
				w.faults["TwoAtOnce"]++
			})
		}
	}
}

// pick returns a random live instance.
func (w *world) pick() *instance {
	var live []*instance
	for _, i := range w.instances {
		if i.alive {
			live = append(live, i)
		}
	}
	return live[w.random.IntN(len(live))]
}

// replace starts a new instance after a while or, where leases of ended processes are taken
// over by their instances, often a new process of the same one.
func (w *world) replace(ended *instance) {
	start := w.startInstance
	if w.turns && w.chance(0.6) {
		start = func() { w.restart(ended) }
	}
	w.after(w.between(time.Second, 10*time.Second), start)
}

// restart starts a new process of an instance once the earlier one has ended.
func (w *world) restart(ended *instance) {
	if ended.alive {
		w.after(time.Second, func() { w.restart(ended) })
		return
	}
	w.faults["SameInstance"]++
	w.startProcess(ended.id)
}

func (w *world) killOne() {
	if i := w.pick(); w.liveCount() > 1 {
		w.faults["Kill"]++
		i.kill()
		w.replace(i)
	}
}

func (w *world) liveCount() (n int) {
	for _, i := range w.instances {
		if i.alive {
			n++
		}
	}
	return n
}

// leaveOne ends an instance as a planned stop does: it releases its leases first.
func (w *world) leaveOne() {
	i := w.pick()
	if w.liveCount() < 2 || i.leaving {
		return
	}
	w.faults["Leave"]++
	i.leaving = true
	w.replace(i)
	w.spawn(i, func() { w.leave(i) })
}

func (w *world) pauseOne(d time.Duration, name string) {
	i := w.pick()
	if i.pausedUntil > w.now {
		return
	}
	w.faults[name]++
	i.pausedUntil = w.now + d
	w.after(d, func() {
		if i.alive {
			w.faults["Wake"]++
		}
	})
}

func (w *world) cutOne() {
	w.faults["Partition"]++
	w.pick().cutUntil = w.now + w.between(time.Second, 30*time.Second)
}

func (w *world) muteOne() {
	w.faults["PartitionFromTargets"]++
	w.pick().muteUntil = w.now + w.between(time.Second, 30*time.Second)
}

func (w *world) outageAll() {
	w.faults["Outage"]++
	w.outage = w.now + w.between(time.Second, 30*time.Second)
}
