package check

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/duty"
)

const (
	// usageWindow and usageLate are the length of a window and the time within which it must be reported,
	// as the platform sets them.
	usageWindow = 5 * time.Second
	usageLate   = 10 * time.Second
	// usageStep is the time between two steps of the duty.
	usageStep = 200 * time.Millisecond
	// settleTime is the time until a new process knows the true time, and maxTimeError the error that its
	// true time then has.
	settleTime   = 2 * time.Second
	maxTimeError = 20 * time.Millisecond
	// knownBefore is the number of windows before its start that a process has counts of, from the row of
	// collected counts.
	knownBefore = 2
)

// usageEpoch is the true time at which histories begin. It is the start of a window.
var usageEpoch = time.Unix(1_800_000_000, 0)

// usageWorkload reports usage to the platform's API and checks what reaches it.
type usageWorkload struct {
	w   *world
	api *usageAPI
}

func newUsageWorkload(w *world) *usageWorkload {
	newOrderWorkload(w) // the faults of engines need some, although no orders are sent
	w.usage = &usageAPI{w: w, reports: map[uint64]int{}, attempts: map[core.AttemptID]bool{}}
	return &usageWorkload{w, w.usage}
}

func (wl *usageWorkload) start(i *instance) {
	w, ctx := wl.w, context.Background()
	timing := w.unfencedTiming()
	source := &usageSource{i: i, startedAt: w.now, completeAfter: map[uint64]time.Duration{}, error: w.between(-maxTimeError, maxTimeError)}
	u := duty.NewUsage(duty.UsageOptions{
		Self: i.id, Table: usageTable{i.table, i}, Leases: i.leaseManager, Reporter: usageReporter{i, wl.api}, Counts: source,
		Clock: i.clock, TrueTime: source, Recorder: i, NewAttemptID: w.newAttemptID, Window: usageWindow, Late: usageLate,
		CallTimeout: timing.OrderLifetime, ClockMargin: timing.ClockMargin,
	})
	w.spawn(i, func() {
		for {
			i.leaseManager.Step(ctx)
			w.sleep(w.between(200*time.Millisecond, 300*time.Millisecond))
		}
	})
	w.spawn(i, func() {
		for {
			u.Step(ctx)
			w.sleep(w.between(usageStep, usageStep+20*time.Millisecond))
		}
	})
}

// check reports windows that are not reported again after the faults.
func (wl *usageWorkload) check() (violations []string) {
	// The last windows may still be reported later.
	last := windowOf(wl.w.now-usageLate) - 1
	for window := last - 3; window <= last; window++ {
		if _, found := wl.api.reports[window]; !found {
			violations = append(violations, fmt.Sprintf("window %d: not reported although the faults have ended", window))
		}
	}
	return violations
}

// windowOf returns the window of a point of the world's time.
func windowOf(at time.Duration) uint64 {
	return uint64(usageEpoch.Add(at).Sub(time.Unix(0, 0)) / usageWindow)
}

// usageSource is what one process knows of the counts and of the true time. It states another count at
// each call, so that two reports of a window that were not copied from each other differ.
type usageSource struct {
	i         *instance
	startedAt time.Duration
	// completeAfter is the time after the end of a window after which its counts are complete, by window.
	completeAfter map[uint64]time.Duration
	error         time.Duration
}

var (
	_ duty.CountSource      = (*usageSource)(nil)
	_ duty.TrueTimeProvider = (*usageSource)(nil)
)

// Now returns the true time as the process knows it.
func (s *usageSource) Now() (time.Time, bool) {
	return usageEpoch.Add(s.i.w.now + s.error), s.i.w.now-s.startedAt >= settleTime
}

// Counts returns the counts of a window.
func (s *usageSource) Counts(window uint64) (map[core.Organisation]int, duty.CountState) {
	w := s.i.w
	if s.startedAt > 0 && window+knownBefore < windowOf(s.startedAt) {
		return nil, duty.CountsUnknown
	}
	after, found := s.completeAfter[window]
	if !found {
		after = w.between(300*time.Millisecond, 1500*time.Millisecond)
		if w.chance(0.2) && !w.recovering {
			after = w.between(2*time.Second, 2*usageLate)
		}
		s.completeAfter[window] = after
	}
	counts := map[core.Organisation]int{"o": 1 + w.random.IntN(1_000_000_000)}
	ended := w.now - time.Duration(window+1-windowOf(0))*usageWindow
	switch {
	case ended >= after:
		return counts, duty.CountsComplete
	case after%2 == 0:
		return counts, duty.CountsTolerable
	}
	return counts, duty.CountsIncomplete
}

// usageAPI is the platform's API as a register. It doesn't compare fences.
type usageAPI struct {
	w *world
	// reports holds the accepted counts by window.
	reports     map[uint64]int
	lastArrival arrival
	// attempts holds the transactions with reports that committed.
	attempts map[core.AttemptID]bool
	// downUntil is the end of a time without answers. refuse is how many of the next calls are refused,
	// and delay how many take effect late and are not answered.
	downUntil     time.Duration
	refuse, delay int
}

// arrive records a call that reached the API and returns its result.
func (a *usageAPI) arrive(from *instance, fence core.Fence, window uint64, count int) core.DutyResult {
	w := a.w
	isExcused := from.isExcused()
	w.checkTurn("usage", &a.lastArrival, from, fence)
	if late := w.now - time.Duration(window+1-windowOf(0))*usageWindow; late > usageLate && !isExcused {
		w.reportViolation(fmt.Sprintf("window %d: call of %s %v after its end", window, from.id, late))
	}
	switch {
	case a.downUntil > w.now:
		return core.DutyUnknown
	case a.refuse > 0:
		a.refuse--
		w.faults["UsageRefused"]++
		return core.DutyRefused
	case a.delay > 0:
		a.delay--
		w.faults["UsageLate"]++
		w.after(w.between(time.Second, 12*time.Second), func() { a.accept(from, window, count) })
		return core.DutyUnknown
	}
	a.accept(from, window, count)
	if w.goBackAfterCall {
		// Most copies lack the report, so its sender's successor must not make up another.
		w.goBackAfterCall = false
		w.faults["GoBackAfterCall"]++
		w.goBack()
		w.after(w.between(0, time.Second), from.leave)
	}
	return core.DutyAccepted
}

func (a *usageAPI) accept(from *instance, window uint64, count int) {
	if earlier, found := a.reports[window]; found && earlier != count {
		a.w.reportViolation(fmt.Sprintf("window %d: %s reports %d after %d", window, from.id, count, earlier))
		return
	}
	a.reports[window] = count
}

// usageFaults are the faults of histories of usage reports (Options.Usage).
var usageFaults = append(slices.DeleteFunc(slices.Clone(allFaults), func(f fault) bool { return f.name == "EngineCrash" }),
	fault{"UsageDown", func(w *world) {
		w.faults["UsageDown"]++
		w.usage.downUntil = w.now + w.between(time.Second, 20*time.Second)
	}},
	fault{"UsageRefused", func(w *world) { w.usage.refuse += 1 + w.random.IntN(12) }},
	fault{"UsageLate", func(w *world) { w.usage.delay += 1 + w.random.IntN(3) }},
	// The holder is killed after its next transaction with a report has run, before it sends the report.
	fault{"KillHolder", func(w *world) { w.killAfterFix = true }},
	// The table comes back from a copy right after the next report, and its sender leaves.
	fault{"GoBackAfterCall", func(w *world) { w.goBackAfterCall = w.eras }},
	// The next transaction with a report is lost, or runs late, and its sender ends soon.
	fault{"FixLost", func(w *world) { w.loseFix = true }},
)

// recordReports checks that a committed transaction with reports was sent under the lease that the row
// has, and kills its sender if that is due.
// A repeated attempt that committed before is not checked again: it only returns the first result.
func (w *world) recordReports(from *instance, attempt core.AttemptID, writes []core.Write) {
	isFix := slices.ContainsFunc(writes, func(write core.Write) bool { return write.Key == duty.ReportKey })
	if w.usage == nil || !isFix || w.usage.attempts[attempt] {
		return
	}
	w.usage.attempts[attempt] = true
	rows, err := w.table.Read(context.Background(), authority.ShardKey(duty.Shard))
	if err != nil {
		w.reportViolation(err.Error())
		return
	}
	fence, isOfEra := authority.FenceOf(rows[0]), core.EraOf(uint64(from.usageFence)) == rows[0].Era
	if from.usageFence != 0 && isOfEra && fence != from.usageFence {
		w.reportViolation(fmt.Sprintf("%s fixes a report under fence %d while the row has %d", from.id, from.usageFence, fence))
	}
	if w.killAfterFix {
		w.killAfterFix = false
		w.faults["KillHolder"]++
		w.after(0, from.killAndReplace)
	}
}

// usageReporter sends an instance's reports. Like the platform client, it compares the deadline right
// before the bytes are written.
type usageReporter struct {
	i   *instance
	api *usageAPI
}

var _ core.UsageReporter = usageReporter{}

// ReportUsage sends one report. The deadline of ctx is the socket's write deadline.
func (r usageReporter) ReportUsage(ctx context.Context, call core.DutyCall, window uint64, counts map[core.Organisation]int) core.DutyResult {
	w := r.i.w
	limit, ok := ctx.Value(deadlineKey{}).(core.Instant)
	if !ok {
		w.reportViolation("report sent without a write deadline")
		return core.DutyUnknown
	}
	w.sleep(w.between(0, 2*time.Millisecond)) // the connection is made; a pause may begin meanwhile
	r.i.pauseIfPending(&r.i.pauseBeforeWrite, "PauseBeforeWrite")
	remaining := limit.Sub(r.i.clock.Now())
	if remaining <= 0 && !w.mutation.noWriteDeadline {
		w.activity["WriteDeadlineHit"]++
		return core.DutyUnknown
	}
	r.i.pauseIfPending(&r.i.pauseInWrite, "PauseInWrite")
	sent := maps.Clone(counts)
	result := core.DutyUnknown
	d := r.i.targetDelivery(20*time.Millisecond, max(0, remaining))
	w.roundTrip(d, func() { result = r.api.arrive(r.i, call.Fence, window, sent["o"]) },
		func() { result = core.DutyUnknown })
	w.activity["Usage"+result.String()]++
	return result
}
