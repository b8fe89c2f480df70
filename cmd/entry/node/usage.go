package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/core/duty"
	"gorseline/core/truetime"
	"gorseline/core/usage"
	"gorseline/io/boottime"
	"gorseline/io/digest"
	"gorseline/io/forward"
	"gorseline/io/table"
	"gorseline/platform"
)

const (
	// usageInterval is the time between two sends of counts. An instance that is killed loses the counts of
	// this time.
	usageInterval = 300 * time.Millisecond
	// usageRowInterval is the time between two writes of the collected counts to the store. If all
	// instances are killed, the counts of this time are lost.
	usageRowInterval = 500 * time.Millisecond
	// usageStepInterval is the time between two steps of the reports.
	usageStepInterval = 200 * time.Millisecond
	// senderTimeout is the time after which a process that has sent no counts is taken for dead. It misses
	// six sends.
	senderTimeout = 6 * usageInterval
	// maxUnsettled bounds the requests that wait to be counted until the true time is known, some seconds
	// after the start.
	maxUnsettled = 4096
	// usageRowKey is the row of the collected counts.
	usageRowKey = "Usage/Counts"
)

// usageDuty counts the requests of organisations. The instance that holds the lease collects the counts of
// all instances and reports them. It does nothing unless the platform asks for reports.
type usageDuty struct {
	isOn      bool
	settings  platform.Settings
	bootClock core.DeadlineClock
	clock     *truetime.Clock
	counter   *usage.Counter
	collector *usage.Collector
	log       log.Interface
	table     core.Table
	done      chan struct{}
	// The fields below are set while the application is assembled, because these components depend on
	// the duty.
	digests *digest.Node
	updater *stateUpdater
	leases  *authority.LeaseManager
	reports *duty.Usage

	mu sync.Mutex
	// unsettled holds the requests that began before the true time was known.
	unsettled []begunRequest
	// heardAt is when each process has last sent counts.
	heardAt map[uint32]core.Instant
	// names maps hashes to the names of organisations, of the configuration of namesVersion and of
	// earlier ones.
	names        map[uint64]core.Organisation
	namesVersion core.Revision
	row          usageRow
}

// begunRequest is a request that a target began at a time of the boot clock.
type begunRequest struct {
	organisation core.Organisation
	at           core.Instant
}

// usageRow is the state of the row of the collected counts.
type usageRow struct {
	// fence is that of the lease under which the row was last read or written.
	fence    core.Fence
	version  uint64
	revision uint64
}

// usageRowValue is the value of the row of the collected counts.
type usageRowValue struct{ Counts string }

var (
	_ forward.UsageRecorder = (*usageDuty)(nil)
	_ digest.UsageReceiver  = (*usageDuty)(nil)
	_ duty.CountSource      = (*usageDuty)(nil)
)

func newUsageDuty(settings platform.Settings, store core.Table, l log.Interface) (*usageDuty, error) {
	clock, err := boottime.NewClock()
	if err != nil {
		return nil, err
	}
	return &usageDuty{
		isOn: settings.Cloud.ReportsUsage, settings: settings, bootClock: clock, clock: truetime.New(clock, time.Now),
		counter: usage.NewCounter(settings.Bounds.UsageWindow), collector: usage.NewCollector(0), log: l, table: store,
		heardAt: map[uint32]core.Instant{}, names: map[uint64]core.Organisation{}, done: make(chan struct{}),
	}, nil
}

// usageReporting starts the reports of a usageDuty.
type usageReporting struct{}

// newUsageReporting gives the duty what depends on it, and starts it.
func newUsageReporting(
	lc fx.Lifecycle, u *usageDuty, digests *digest.Node, updater *stateUpdater, roles *roleController, cloud *platform.CloudClient,
	i *instruments,
) usageReporting {
	u.digests, u.updater, u.leases = digests, updater, roles.leases
	if !u.isOn {
		return usageReporting{}
	}
	u.reports = duty.NewUsage(duty.UsageOptions{
		Self: u.settings.Instance, Table: u.table, Leases: roles.leases, Reporter: cloud, Counts: u, Clock: u.bootClock,
		TrueTime: u.clock, Recorder: eventLog{u.log}, Observer: reportObserver{i}, NewAttemptID: table.NewAttemptIDSource(),
		Window: u.settings.Bounds.UsageWindow, Late: u.settings.Bounds.UsageDelay,
		CallTimeout: dutyCallTimeout, ClockMargin: authority.HolderGapTiming(0).ClockMargin,
	})
	lifecycle.Register(lc, u)
	return usageReporting{}
}

// reportObserver counts the steps of usage reports. The method of the same name of instruments counts calls
// of the store.
type reportObserver struct{ *instruments }

// ObserveCall counts a call with a report.
func (o reportObserver) ObserveCall(_ uint64, result core.DutyResult) {
	o.count("UsageReports." + result.String())
}

// dutyCallTimeout bounds a call for a duty. It must not exceed the OrderLifetime of the leases.
const dutyCallTimeout = time.Second

// Run sends, collects and reports counts until ctx ends.
func (u *usageDuty) Run(ctx context.Context) {
	defer close(u.done)
	var loops sync.WaitGroup
	loops.Go(func() { pause.Every(ctx, usageInterval, u.send) })
	loops.Go(func() { pause.Every(ctx, usageRowInterval, func() { u.syncRow(ctx) }) })
	loops.Go(func() { pause.Every(ctx, usageStepInterval, func() { u.step(ctx) }) })
	loops.Wait()
}

// Done returns a channel that is closed when Run has ended.
func (u *usageDuty) Done() <-chan struct{} { return u.done }

// RecordBegun counts a request that a target began a time ago.
func (u *usageDuty) RecordBegun(o core.Organisation, ago time.Duration) {
	if !u.isOn {
		return
	}
	now, ok := u.clock.Now()
	if ok {
		u.counter.Count(now.Add(-ago), o)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.unsettled) < maxUnsettled {
		u.unsettled = append(u.unsettled, begunRequest{o, u.bootClock.Now().Add(-ago)})
	}
}

// countUnsettled counts the requests that began before the true time was known.
func (u *usageDuty) countUnsettled(now time.Time) {
	u.mu.Lock()
	list := u.unsettled
	u.unsettled = nil
	u.mu.Unlock()
	bootNow := u.bootClock.Now()
	for _, r := range list {
		u.counter.Count(now.Add(-bootNow.Sub(r.at)), r.organisation)
	}
}

// send sends the counts that have changed to the instances that may hold the lease, and drops windows whose
// report is out of time.
func (u *usageDuty) send() {
	now, ok := u.clock.Now()
	if !ok {
		return
	}
	u.countUnsettled(now)
	kept := usage.WindowAt(now.Add(-u.settings.Bounds.UsageDelay), u.settings.Bounds.UsageWindow)
	kept -= min(kept, 1)
	u.counter.Forget(kept)
	u.collector.Forget(kept)
	watchers := authority.Watchers(duty.Shard, u.digests.LeaseMembers())
	if len(watchers) == 0 {
		return
	}
	closed, entries := u.counter.Due(now)
	for _, data := range usage.Datagrams(closed, entries) {
		u.digests.SendUsage(data, watchers)
	}
}

// ReceiveUsage collects the counts of a process.
func (u *usageDuty) ReceiveUsage(sender uint32, data []byte) {
	if !u.isOn {
		return
	}
	closed, entries, err := usage.DecodeEntries(data)
	if err != nil {
		u.log.WithFields(log.Fields{"Sender": sender, "Error": err.Error()}).Warn("UsageRejected")
		return
	}
	u.mu.Lock()
	u.heardAt[sender] = u.bootClock.Now()
	u.mu.Unlock()
	u.collector.Add(sender, entries)
	for _, c := range closed {
		u.collector.Complete(sender, c)
	}
}

// liveSenders returns the processes that have sent counts lately.
func (u *usageDuty) liveSenders() []uint32 {
	now := u.bootClock.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	senders := make([]uint32, 0, len(u.heardAt))
	for sender, at := range u.heardAt {
		if now.Sub(at) > senderTimeout {
			delete(u.heardAt, sender)
			continue
		}
		senders = append(senders, sender)
	}
	return senders
}

// Counts returns the counts of a window by organisation.
func (u *usageDuty) Counts(window uint64) (map[core.Organisation]int, duty.CountState) {
	total, live := u.collector.Total(window), u.liveSenders()
	missing := u.collector.Missing(window, live)
	counts := u.named(total)
	switch {
	case len(live) == 0 || len(missing) == len(live) && len(total) == 0:
		return counts, duty.CountsUnknown
	case len(missing) == 0:
		return counts, duty.CountsComplete
	case float64(len(missing)) <= u.settings.Bounds.UsageTolerance*float64(len(live)):
		return counts, duty.CountsTolerable
	}
	return counts, duty.CountsIncomplete
}

// named returns counts by the names of organisations. Counts of unknown hashes are logged: their organisation
// is in no configuration that this instance has seen.
func (u *usageDuty) named(total map[uint64]int) map[core.Organisation]int {
	counts := make(map[core.Organisation]int, len(total))
	unknown := 0
	u.mu.Lock()
	defer u.mu.Unlock()
	u.learnNames()
	for hash, count := range total {
		name, ok := u.names[hash]
		if !ok {
			unknown += count
			continue
		}
		counts[name] = count
	}
	if unknown > 0 {
		u.log.WithField("Requests", unknown).Warn("UsageOfUnknownOrganisation")
	}
	return counts
}

// learnNames adds the organisations of the configuration in force. It drops those of earlier ones when they
// outnumber these. The lock must be held.
func (u *usageDuty) learnNames() {
	c := u.updater.Configuration()
	if c == nil || c.Version == u.namesVersion {
		return
	}
	if len(u.names) > 2*len(c.Organisations) {
		u.names = make(map[uint64]core.Organisation, len(c.Organisations))
	}
	for i := range c.Organisations {
		name := c.Organisations[i].Name
		u.names[usage.OrganisationHash(name)] = name
	}
	u.namesVersion = c.Version
}

// step reports windows while this instance holds the lease.
func (u *usageDuty) step(ctx context.Context) {
	if len(u.leases.Leases()) > 0 {
		u.reports.Step(ctx)
	}
}

// syncRow reads the collected counts from the store when this instance has acquired the lease, and writes them
// when they have changed.
func (u *usageDuty) syncRow(ctx context.Context) {
	lease, _, release, ok := u.leases.Use(duty.Shard)
	if !ok {
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	if u.row.fence != lease.Fence {
		if !u.readRow(ctx) {
			return
		}
		u.row.fence = lease.Fence
	}
	if u.collector.Revision() == u.row.revision {
		return
	}
	row := u.collector.Row(u.liveSenders())
	value, err := json.Marshal(usageRowValue{row.Text})
	if err != nil {
		u.log.WithError(err).Error("UsageNotKept")
		return
	}
	result := u.table.Transact(ctx, "", []core.Write{{Key: usageRowKey, Value: value, Expected: u.row.version}})
	switch result.Kind {
	case core.TransactCommitted:
		u.row.version, u.row.revision = result.Versions[0], row.Revision
	default:
		// The row is read again: its version isn't known, or another instance has written it.
		u.row.fence = 0
	}
}

// readRow merges the counts that an earlier holder has kept. It returns false if the row can't be read.
func (u *usageDuty) readRow(ctx context.Context) bool {
	rows, err := u.table.Read(ctx, usageRowKey)
	if err != nil || len(rows) != 1 {
		return false // tried again with the next write
	}
	u.row.version, u.row.revision = rows[0].Version, 0
	if rows[0].Version == 0 {
		return true
	}
	var value usageRowValue
	err = json.Unmarshal(rows[0].Value, &value)
	if err == nil {
		err = u.collector.Restore(value.Counts)
	}
	if err != nil {
		u.log.WithError(err).Error("UsageNotRestored") // it is replaced by the next write
	}
	return true
}
