package duty

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

const (
	// timeForCalls is the time before a report is too late at which it is fixed although counts are missing.
	// 3 s are enough for a transaction, its read back and two calls of the platform of 1 s each.
	timeForCalls = 3 * time.Second
	// repeatInterval is the time between two calls with one report: with a few windows open at once, the
	// calls stay far below the rate that the platform accepts.
	repeatInterval = time.Second
	// tableRetryInterval is the pause after a call of the table without success.
	tableRetryInterval = 500 * time.Millisecond
	// sendMargin is the time before a report is too late at which its last call must have ended. It covers
	// the way to the platform and the error of true time.
	sendMargin = 300 * time.Millisecond
)

// Usage reports the usage of each window once, under the lease of Shard. Each report is fixed in the row
// ReportKey, in a transaction that also checks the lease row, and sent afterwards. A successor sends what
// is fixed and not marked as accepted. After the table has come back from an older copy, only reports that
// this process remembers or that were written again since are sent.
//
// Step must be called by one goroutine at a time.
type Usage struct {
	opts UsageOptions
	// fence is that of the lease under which the row was last read or written; 0 means that the row must
	// be read before the next decision.
	fence   core.Fence
	version uint64 // of the row
	// era is the latest era of the table that this process has seen in the row, and eraSeenAt the true
	// time after which windows can't have been fixed in an earlier era. isEraKnown is false before the
	// first read.
	era        uint64
	eraSeenAt  time.Time
	isEraKnown bool
	// eraFrom is the first window that may be fixed in the era.
	eraFrom uint64
	// reports holds the reports that are known to be fixed. It outlasts the lease and the era: a report
	// that an older copy of the table lacks is written again as it was.
	reports map[uint64]Report
	// given holds the windows that are given up, and next is the first window to decide on.
	given map[uint64]bool
	next  uint64
	// nextCall holds the instant of the next call by window, and nextTableCall that of the next call of
	// the table.
	nextCall      map[uint64]core.Instant
	nextTableCall core.Instant
}

// NewUsage returns a Usage that has read nothing. It starts no goroutine.
func NewUsage(opts UsageOptions) *Usage {
	if opts.Observer == nil {
		opts.Observer = noObserver{}
	}
	return &Usage{
		opts: opts, reports: map[uint64]Report{}, given: map[uint64]bool{},
		nextCall: map[uint64]core.Instant{},
	}
}

// Step fixes the reports that are due, and sends one. It makes at most one read and one write of the table
// and one call of the platform, each while the lease is held and within CallTimeout. Without the lease or
// true time it does nothing.
func (u *Usage) Step(ctx context.Context) {
	if !u.load(ctx) {
		return
	}
	u.fixDue(ctx)
	u.sendDue(ctx)
}

// use returns the lease if a call may start under it, and the version of its row. It returns false while
// another lease than that of the last read is held.
func (u *Usage) use() (lease authority.Lease, version uint64, release func(), ok bool) {
	lease, version, release, ok = u.opts.Leases.Use(Shard)
	if ok && lease.Fence != u.fence {
		release()
		return lease, version, nil, false
	}
	return lease, version, release, ok
}

// load reads the row if it wasn't read under the present lease, or if its content is uncertain. It
// reports whether the row is known.
func (u *Usage) load(ctx context.Context) bool {
	lease, _, release, ok := u.opts.Leases.Use(Shard)
	if !ok {
		return false
	}
	defer release()
	if u.fence == lease.Fence {
		return true
	}
	now := u.opts.Clock.Now()
	if now < u.nextTableCall {
		return false
	}
	u.nextTableCall = now.Add(tableRetryInterval)
	ctx, cancel := u.callContext(ctx, lease, now.Add(u.opts.CallTimeout))
	defer cancel()
	rows, err := u.opts.Table.Read(ctx, ReportKey, authority.ShardKey(Shard))
	at, isSettled := u.opts.TrueTime.Now() // after the read: the era has begun by then
	if err != nil || len(rows) != 2 || !isSettled {
		return false
	}
	if authority.FenceOf(rows[1]) != lease.Fence {
		return false // the row belongs to a successor, whose reports this holder must not send
	}
	value, err := decodeRow(rows[0])
	if err != nil {
		u.record(EventUsageUnreadable, err.Error())
		return false
	}
	u.adopt(rows[0], value, at)
	u.fence, u.nextTableCall = lease.Fence, 0
	return true
}

// adopt takes over the content of the row, which was read at a true time.
func (u *Usage) adopt(row core.Row, value reportRow, at time.Time) {
	u.observeEra(row.Era, at)
	u.version = row.Version
	u.eraFrom = value.EraFrom
	// The content of an earlier era may come from a copy, or from a late transaction that expected the same
	// numbers. The latter may have been replaced before the table went back, so that its reports differ from
	// those sent.
	isOfEra := value.Era == row.Era
	if !isOfEra {
		u.eraFrom = u.firstEndingAfter(u.eraSeenAt.Add(u.opts.ClockMargin))
	}
	for _, r := range value.Reports {
		known, found := u.reports[r.Window]
		switch {
		case !found && !isOfEra:
		case !found:
			u.reports[r.Window] = r
		case r.State == ReportAccepted:
			known.State = ReportAccepted
			u.reports[r.Window] = known
		}
	}
	open := u.firstEndingAfter(at.Add(sendMargin - u.opts.Late))
	if from := u.newest() + 1; from < open && len(u.reports) > 0 {
		open = max(from, open-min(open, maxReports))
	}
	u.next = max(u.next, open)
}

// observeEra notes the era of an answer of the table that arrived at a true time.
func (u *Usage) observeEra(era uint64, at time.Time) {
	if u.isEraKnown && era <= u.era {
		return
	}
	u.era, u.eraSeenAt, u.isEraKnown = era, at, true
}

// newest returns the latest fixed window, or 0.
func (u *Usage) newest() (newest uint64) {
	for window := range u.reports {
		newest = max(newest, window)
	}
	return newest
}

// end returns the end of a window.
func (u *Usage) end(window uint64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(window+1) * u.opts.Window)
}

// firstEndingAfter returns the first window that ends after a time.
func (u *Usage) firstEndingAfter(at time.Time) uint64 {
	return uint64(max(0, at.Sub(time.Unix(0, 0))) / u.opts.Window)
}

// lateAt returns the time by which the calls for a window must have ended.
func (u *Usage) lateAt(window uint64) time.Time { return u.end(window).Add(u.opts.Late - sendMargin) }

// fixDue fixes the reports that are due in one transaction, and gives up the windows whose time has run
// out.
func (u *Usage) fixDue(ctx context.Context) {
	at, isSettled := u.opts.TrueTime.Now()
	if !isSettled {
		return
	}
	due := u.due(at)
	if len(due) == 0 || u.opts.Clock.Now() < u.nextTableCall {
		return
	}
	lease, version, release, ok := u.use()
	if !ok {
		return
	}
	defer release()
	for i := range due {
		due[i].Fence = lease.Fence
	}
	u.write(ctx, lease, version, due)
}

// due returns the reports of the windows to fix now. It gives up those that can't be fixed any more, and
// forgets windows long past.
func (u *Usage) due(at time.Time) (due []Report) {
	current := u.firstEndingAfter(at)
	u.forget(current)
	for u.next < current && u.isDecided(u.next) {
		u.next++
	}
	for window := u.next; window < current; window++ {
		if u.isDecided(window) {
			continue
		}
		report, isDue, reason := u.decide(window, at)
		switch {
		case isDue:
			due = append(due, report)
		case reason != "":
			u.giveUp(window, reason)
		}
	}
	return due
}

// isDecided reports whether a window is fixed or given up.
func (u *Usage) isDecided(window uint64) bool {
	_, isFixed := u.reports[window]
	return isFixed || u.given[window]
}

// decide returns the report of a window if it is to be fixed now, or the reason to give the window up.
// Neither means that there is still time.
func (u *Usage) decide(window uint64, at time.Time) (report Report, isDue bool, reason SkipReason) {
	if window < u.eraFrom {
		return Report{}, false, SkipEarlierEra
	}
	isLate := !at.Before(u.lateAt(window))
	counts, state := u.opts.Counts.Counts(window)
	switch {
	case isLate && state == CountsUnknown:
		return Report{}, false, SkipUnknown
	case isLate && state == CountsIncomplete:
		return Report{}, false, SkipIncomplete
	case isLate:
		return Report{}, false, SkipNotFixed
	case state == CountsComplete, state == CountsTolerable && !at.Before(u.end(window).Add(u.opts.Late-timeForCalls)):
		report = Report{Window: window, Counts: map[core.Organisation]int{}, State: ReportFixed}
		maps.Copy(report.Counts, counts)
		return report, true, ""
	}
	return Report{}, false, ""
}

// write fixes reports in a transaction that also checks the version of the lease row. It also writes the
// marks of accepted reports, and again what an older copy of the table lacks.
func (u *Usage) write(ctx context.Context, lease authority.Lease, version uint64, due []Report) {
	all := maps.Clone(u.reports)
	for _, r := range due {
		all[r.Window] = r
	}
	value := reportRow{Era: u.era, EraFrom: u.eraFrom, Reports: latestReports(all)}
	now := u.opts.Clock.Now()
	ctx, cancel := u.callContext(ctx, lease, now.Add(u.opts.CallTimeout))
	defer cancel()
	result := u.opts.Table.Transact(ctx, u.opts.NewAttemptID(), []core.Write{
		{Key: authority.ShardKey(Shard), Expected: version, CheckOnly: true},
		{Key: ReportKey, Expected: u.version, Value: value.encode()},
	})
	switch result.Kind {
	case core.TransactCommitted:
		if core.EraOf(result.Versions[0]) != core.EraOf(version) || core.EraOf(result.Versions[1]) != u.era {
			u.fence = 0 // the rows were compared with those of another era
			return
		}
		u.version = result.Versions[1]
		for _, r := range due {
			u.reports[r.Window] = r
			u.opts.Observer.ObserveFixed(r.Window)
			u.recordWindow(EventUsageFixed, r.Window, r.Fence, "")
		}
	case core.TransactConflict:
		u.nextTableCall = now.Add(tableRetryInterval)
		u.reloadAfter(result.Conflicts)
	case core.TransactUnavailable:
		u.nextTableCall = now.Add(tableRetryInterval)
	default:
		// The transaction may have run or may run later. If it runs after the next read, the next
		// transaction conflicts on the row.
		u.fence = 0
	}
}

// reloadAfter has the row read again after a conflict, unless a renewal of the lease is the only cause:
// the next step then has its new version.
func (u *Usage) reloadAfter(conflicts []core.Row) {
	for _, row := range conflicts {
		if row.Key == ReportKey || row.Era != u.era {
			u.fence = 0
		}
	}
}

// sendDue sends the oldest report whose next call is due. A call without an answer is repeated, because
// the platform ignores an exact repeat.
func (u *Usage) sendDue(ctx context.Context) {
	now := u.opts.Clock.Now() // before the true time: a pause in between shortens the call
	at, isSettled := u.opts.TrueTime.Now()
	if !isSettled || u.fence == 0 {
		return
	}
	for _, window := range slices.Sorted(maps.Keys(u.reports)) {
		report := u.reports[window]
		remaining := u.lateAt(window).Sub(at)
		switch {
		case report.State == ReportAccepted || u.given[window]:
		case remaining <= 0:
			u.giveUp(window, SkipNotAccepted)
		case now >= u.nextCall[window]:
			u.send(ctx, report, now.Add(remaining))
			return
		}
	}
}

// send sends a fixed report, unless the lease is lost. The call ends by the latest instant.
func (u *Usage) send(ctx context.Context, report Report, latest core.Instant) {
	lease, _, release, ok := u.use()
	if !ok {
		return
	}
	defer release()
	ctx, cancel := u.callContext(ctx, lease, latest)
	defer cancel()
	u.nextCall[report.Window] = u.opts.Clock.Now().Add(repeatInterval)
	call := core.DutyCall{Holder: u.opts.Self, Fence: lease.Fence}
	result := u.opts.Reporter.ReportUsage(ctx, call, report.Window, report.Counts)
	u.opts.Observer.ObserveCall(report.Window, result)
	if result != core.DutyAccepted {
		return
	}
	report.State = ReportAccepted
	u.reports[report.Window] = report
	u.recordWindow(EventUsageReported, report.Window, lease.Fence, "organisations "+strconv.Itoa(len(report.Counts)))
}

// giveUp notes that a window is not reported.
func (u *Usage) giveUp(window uint64, reason SkipReason) {
	u.given[window] = true
	u.opts.Observer.ObserveSkipped(window, reason)
	u.recordWindow(EventUsageSkipped, window, u.fence, "reason "+string(reason))
}

// forget drops what is known of windows that are neither sent nor written again.
func (u *Usage) forget(current uint64) {
	isOld := func(window uint64) bool { return window+2*maxReports < current }
	maps.DeleteFunc(u.reports, func(window uint64, _ Report) bool { return isOld(window) })
	maps.DeleteFunc(u.given, func(window uint64, _ bool) bool { return isOld(window) })
	maps.DeleteFunc(u.nextCall, func(window uint64, _ core.Instant) bool { return isOld(window) })
}

func (u *Usage) recordWindow(kind core.EventKind, window uint64, fence core.Fence, detail string) {
	u.record(kind, "window "+strconv.FormatUint(window, 10)+" fence "+strconv.FormatUint(uint64(fence), 10)+" "+detail)
}

func (u *Usage) record(kind core.EventKind, detail string) {
	u.opts.Recorder.Record(core.Event{Instance: u.opts.Self, Kind: kind, Detail: detail})
}
