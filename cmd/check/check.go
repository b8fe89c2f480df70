package check

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/standin/table"
)

// Options configure a check.
type Options struct {
	// Histories is the number of histories to run; Seed determines all of them.
	Histories int
	Seed      uint64
	// Workers is the number of histories that run in parallel; 0 means half of the
	// processors.
	Workers int
	// UnfencedTargets runs histories in which no target checks fences, and checks that
	// orders of two instances to one target are a minimum gap apart, as the operators'
	// platform requires.
	UnfencedTargets bool
	// Eras runs histories of leases and orders in which the table comes back from older copies,
	// also twice in a row.
	Eras bool
	// Usage runs histories of usage reports to a platform that neither checks fences nor can be read.
	// In half of them the table comes back from older copies.
	Usage bool

	mutation mutation
	// stopOnViolation ends the check after the first history with violations.
	stopOnViolation bool
}

// mutation disables safeguards. The check must then report violations.
type mutation struct {
	// noFenceCheck makes all targets accept stale orders.
	noFenceCheck bool
	// ignoreVersions makes the table ignore the expected versions of keys with this
	// prefix; an empty prefix changes nothing.
	ignoreVersions string
	// noRevisionCheck makes the instances apply outdated revisions.
	noRevisionCheck bool
	// The others disable what protects targets that don't check fences: the minimum gap
	// between orders of two lease holders, the wait for the lease of another holder to
	// expire, the write deadline of orders, and the condition that a target has accepted
	// no other order meanwhile.
	noHolderGap, noLeaseWait, noWriteDeadline, noOrderCount bool
	// noEras hides the eras of the table from the instances, noRowEra only those of the rows that
	// they read.
	noEras, noRowEra bool
	// These disable what keeps usage reports the same: the check of the lease row in the transaction,
	// fixing a report before it is sent, reading back after a transaction without an answer, and the eras.
	noUsageLease, noUsageFix, noUsageReread, noUsageEras bool
}

// Report is the result of a check.
type Report struct {
	Histories  int
	Violations int
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// Activity counts the events and outcomes of the instances by name.
	Activity map[string]int
	// Examples describe the violations of the first histories that have any.
	Examples []Violation `json:",omitempty"`
}

// Violation is a broken invariant. The number of its history and the seed of the check
// reproduce it.
type Violation struct {
	History int
	Text    string
}

// maxExamples limits the examples of a report. All violations of a history are added
// together, so a report may have a few more.
const maxExamples = 10

// Run runs the histories and returns their report. It stops early when ctx is done.
func Run(ctx context.Context, opts Options) Report {
	if opts.Workers == 0 {
		opts.Workers = max(1, runtime.GOMAXPROCS(0)/2)
	}
	report := Report{Faults: map[string]int{}, Activity: map[string]int{}}
	violations := map[int][]string{}
	next := 0
	var mu sync.Mutex
	var workers sync.WaitGroup
	for range opts.Workers {
		workers.Go(func() {
			for {
				mu.Lock()
				n := next
				next++
				stop := opts.stopOnViolation && report.Violations > 0
				mu.Unlock()
				if n >= opts.Histories || stop || ctx.Err() != nil {
					return
				}
				w := newWorld(n, opts)
				w.run()
				mu.Lock()
				report.Histories++
				report.Violations += len(w.violations)
				for name, count := range w.faults {
					report.Faults[name] += count
				}
				for name, count := range w.activity {
					report.Activity[name] += count
				}
				if len(w.violations) > 0 {
					violations[n] = w.violations
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	for n := 0; n < opts.Histories && len(report.Examples) < maxExamples; n++ {
		for _, text := range violations[n] {
			report.Examples = append(report.Examples, Violation{History: n, Text: text})
		}
	}
	return report
}

func newWorld(history int, opts Options) *world {
	w := &world{
		random: rand.New(rand.NewPCG(opts.Seed, uint64(history))), table: table.New(), faults: map[string]int{}, activity: map[string]int{},
		intents: map[string]authority.Intent{}, lastFences: map[int]uint64{}, mutation: opts.mutation, unfencedTargets: opts.UnfencedTargets,
		eras: opts.Eras,
	}
	if opts.Usage {
		w.unfencedTargets, w.eras = true, opts.Eras || w.chance(0.5)
	}
	w.peerForwarding = w.chance(0.5) && !w.unfencedTargets && !w.eras
	if opts.mutation.ignoreVersions != "" {
		w.table.DisableVersionCheck(opts.mutation.ignoreVersions)
	}
	if opts.Usage {
		w.workloads = []workload{newUsageWorkload(w)}
		return w
	}
	w.workloads = []workload{newOrderWorkload(w)}
	if !opts.Eras {
		// The platform's store, which may go back, holds neither claims nor revisions.
		w.workloads = append(w.workloads, &claimWorkload{w: w}, newRevisionWorkload(w))
	}
	return w
}

// run runs the history, first with faults and then without, and collects its violations.
func (w *world) run() {
	for range initialInstances {
		w.startInstance()
	}
	w.planFaults()
	if w.eras {
		w.planEras()
	}
	w.runUntil(faultPhase)
	w.recovering = true
	for _, i := range w.instances {
		i.loseTableReplies, i.delayWrites, i.loseTargetReplies, i.pauseBeforeWrite, i.pauseInWrite = 0, 0, 0, 0, 0
		i.pausedUntil, i.partitionedUntil, i.targetsUnreachableUntil = min(i.pausedUntil, w.now), min(i.partitionedUntil, w.now), min(i.targetsUnreachableUntil, w.now)
	}
	w.outageUntil = min(w.outageUntil, w.now)
	if w.usage != nil {
		w.usage.refuse, w.usage.delay, w.usage.downUntil, w.killAfterFix, w.loseFix, w.goBackAfterCall = 0, 0, 0, false, false, false
	}
	w.runUntil(faultPhase + recoveryPhase)
	for _, wl := range w.workloads {
		w.violations = append(w.violations, wl.check()...)
	}
	for _, t := range w.tasks {
		t.end()
	}
}

// shutDown releases the leases of an instance and then kills it.
func (w *world) shutDown(i *instance) {
	for i.leaseManager.Release(context.Background()) > 0 {
		w.sleep(200 * time.Millisecond)
	}
	w.after(0, i.kill)
}

var _ core.DeadlineClock = driftingClock{}
