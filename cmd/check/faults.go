package check

import (
	"slices"
	"time"
)

// Phases of a history: faults are injected in the first, and the system must converge in
// the second. A takeover by the candidate with the lowest rank takes up to two lease
// durations, one watch interval, the order lifetime and the change itself; a few load
// reports must then confirm it.
const (
	faultPhase    = 60 * time.Second
	recoveryPhase = 100 * time.Second
)

// fault injects one kind of failure; its name is the key in Report.Faults.
type fault struct {
	name   string
	inject func(*world)
}

var allFaults = []fault{
	{"Kill", (*world).killOne},
	{"Leave", (*world).leaveOne},
	{"Pause", func(w *world) { w.pauseOne(w.between(100*time.Millisecond, 8*time.Second), "Pause") }},
	{"PausePastLease", func(w *world) { w.pauseOne(w.between(16*time.Second, 45*time.Second), "PausePastLease") }},
	{"PauseBeforeWrite", func(w *world) { w.randomLive().pauseBeforeWrite = w.between(time.Second, 40*time.Second) }},
	{"Partition", (*world).partitionOne},
	{"PartitionFromTargets", (*world).partitionFromTargets},
	{"AnswerLost", func(w *world) { w.randomLive().loseTargetReplies += 1 + w.random.IntN(3) }},
	{"Outage", (*world).startOutage},
	{"ReplyLost", func(w *world) { w.randomLive().loseTableReplies += 1 + w.random.IntN(3) }},
	{"LateWrite", func(w *world) { w.randomLive().delayWrites++ }},
	{"EngineCrash", func(w *world) { w.targets[w.random.IntN(engineCount)].crash() }},
	{"PauseInWrite", func(w *world) { w.randomLive().pauseInWrite = w.between(3*time.Second, 40*time.Second) }},
}

// unfencedFaults adds the faults that apply only to targets without fence checks
// (Options.UnfencedTargets).
var unfencedFaults = append(slices.Clone(allFaults), fault{
	"OrderLate", func(w *world) { w.targets[w.random.IntN(engineCount)].delayOrders += 1 + w.random.IntN(2) },
})

// planFaults schedules the random faults of a history. With a probability of 0.4 another
// fault follows within 50 ms.
func (w *world) planFaults() {
	faults := allFaults
	if w.unfencedTargets {
		faults = unfencedFaults
	}
	if w.usage != nil {
		faults = usageFaults
	}
	for range 1 + w.random.IntN(4) {
		at := w.between(2*time.Second, faultPhase)
		first := faults[w.random.IntN(len(faults))]
		w.after(at, func() { first.inject(w) })
		if w.chance(0.4) {
			second := faults[w.random.IntN(len(faults))]
			w.after(at+w.between(0, 50*time.Millisecond), func() {
				second.inject(w)
				w.faults["TwoAtOnce"]++
			})
		}
	}
}

// randomLive returns a random live instance.
func (w *world) randomLive() *instance {
	var live []*instance
	for _, i := range w.instances {
		if i.alive {
			live = append(live, i)
		}
	}
	return live[w.random.IntN(len(live))]
}

// scheduleReplacement starts a new instance after a delay. With unfenced targets, a process
// takes over the leases of earlier processes of its instance, so the ended instance is often
// restarted instead.
func (w *world) scheduleReplacement(ended *instance) {
	start := w.startInstance
	if w.unfencedTargets && w.chance(0.6) {
		start = func() { w.restart(ended) }
	}
	w.after(w.between(time.Second, 10*time.Second), start)
}

// restart starts a new process of an instance as soon as the earlier process has ended.
func (w *world) restart(ended *instance) {
	if ended.alive {
		w.after(time.Second, func() { w.restart(ended) })
		return
	}
	w.faults["SameInstance"]++
	w.startProcess(ended.id)
}

func (w *world) killOne() {
	if i := w.randomLive(); w.liveCount() > 1 {
		w.faults["Kill"]++
		i.killAndReplace()
	}
}

// killAndReplace kills the process unless it has ended or is the only one.
func (i *instance) killAndReplace() {
	if !i.alive || i.w.liveCount() < 2 {
		return
	}
	i.kill()
	if !i.leaving { // the replacement of a leaving instance is scheduled already
		i.w.scheduleReplacement(i)
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

// leaveOne shuts an instance down gracefully: it releases its leases before it ends.
func (w *world) leaveOne() { w.randomLive().leave() }

// leave shuts the instance down unless it has ended or is the only one.
func (i *instance) leave() {
	w := i.w
	if !i.alive || w.liveCount() < 2 || i.leaving {
		return
	}
	w.faults["Leave"]++
	i.leaving = true
	w.scheduleReplacement(i)
	w.spawn(i, func() { w.shutDown(i) })
}

func (w *world) pauseOne(d time.Duration, name string) {
	i := w.randomLive()
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

func (w *world) partitionOne() {
	w.faults["Partition"]++
	w.randomLive().partitionedUntil = w.now + w.between(time.Second, 30*time.Second)
}

func (w *world) partitionFromTargets() {
	w.faults["PartitionFromTargets"]++
	w.randomLive().targetsUnreachableUntil = w.now + w.between(time.Second, 30*time.Second)
}

func (w *world) startOutage() {
	w.faults["Outage"]++
	w.outageUntil = w.now + w.between(time.Second, 30*time.Second)
}
