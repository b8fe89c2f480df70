package authority

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"gorseline/core"
)

// watchersPerShard is how many instances watch a shard: the preferred one, and two more
// in case instances disagree about the members. With 128 shards that are read every 5 s,
// the fleet reads 77 rows/s.
const watchersPerShard = 3

// handOverAfterLeases is the minimum time, in lease durations, for which an instance keeps a
// shard before it hands it over. Without it shards would move back and forth while instances
// disagree about the members.
const handOverAfterLeases = 4

// maxTransactions is how often a write is attempted while its rows conflict.
const maxTransactions = 3

// LeaseManager acquires, renews, hands over and releases shard leases. Step and Release
// must be called by one goroutine at a time; the other methods are safe for concurrent
// use. No lock is held while the table is called.
type LeaseManager struct {
	opts        Options
	mu          sync.Mutex
	held        map[int]*heldLease
	observed    map[int]observedRow
	nextRenewal core.Instant
	nextWatch   core.Instant
	releasing   bool
	// rankByShard holds the rank of this instance for each shard that it watches. The
	// ranks are computed from rankedMembers.
	rankByShard   map[int]int
	rankedMembers []core.InstanceID
	done          chan struct{}
}

// heldLease is a lease with the data needed to renew it.
type heldLease struct {
	Lease
	version    uint64 // of the lease row
	acquiredAt core.Instant
	pins       int // calls that use the lease; it is not released meanwhile
}

// observedRow is the lease row of a shard that this instance doesn't hold.
type observedRow struct {
	row       core.Row
	firstSeen core.Instant // when this version of the row was first read
	// attempt is the last acquisition by this process, and sentAt is when it was sent.
	attempt core.AttemptID
	sentAt  core.Instant
}

// NewLeaseManager returns a lease manager without leases. It starts no goroutine.
func NewLeaseManager(opts Options) *LeaseManager {
	return &LeaseManager{
		opts: opts, held: map[int]*heldLease{}, observed: map[int]observedRow{}, done: make(chan struct{}),
	}
}

// Run acquires and renews leases until ctx ends. It then releases them within
// ReleaseTimeout.
func (m *LeaseManager) Run(ctx context.Context) {
	defer close(m.done)
	m.loop(ctx)
	limit := m.opts.Clock.Now().Add(cmp.Or(m.opts.ReleaseTimeout, m.opts.LeaseDuration))
	ctx, cancel := m.opts.Clock.WithDeadline(context.WithoutCancel(ctx), limit)
	defer cancel()
	ticker := time.NewTicker(m.opts.OrderLifetime / 10)
	defer ticker.Stop()
	for m.Release(ctx) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loop calls Step five times per RenewInterval until ctx ends.
func (m *LeaseManager) loop(ctx context.Context) {
	ticker := time.NewTicker(m.opts.RenewInterval / 5)
	defer ticker.Stop()
	for {
		m.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Done is closed when Run has ended.
func (m *LeaseManager) Done() <-chan struct{} { return m.done }

// Step hands over and renews leases when a renewal is due. It also reads the rows of the
// shards that this instance watches and acquires those whose lease has expired.
func (m *LeaseManager) Step(ctx context.Context) {
	members := m.opts.Members()
	if now := m.opts.Clock.Now(); now >= m.nextRenewal {
		m.handOver(ctx, members)
		m.nextRenewal = now.Add(m.opts.RenewInterval)
		if !m.renew(ctx) {
			m.nextRenewal = now.Add(m.opts.RenewInterval / 5)
		}
	}
	if now := m.opts.Clock.Now(); now >= m.nextWatch && len(members) > 0 {
		m.nextWatch = now.Add(m.opts.RenewInterval)
		m.watch(ctx, members)
	}
}

// renew renews all held leases in one transaction. It returns false if the renewal
// failed and should be retried soon.
func (m *LeaseManager) renew(ctx context.Context) bool {
	return m.writeHeld(ctx, m.heldShards(func(*heldLease) bool { return true }), false)
}

// writeHeld renews or releases the leases of the given shards in one transaction. If some
// of the leases were lost, it drops these and retries with the others. It reports whether
// the write committed or nothing was left to write.
func (m *LeaseManager) writeHeld(ctx context.Context, shards []int, release bool) bool {
	for range maxTransactions {
		attempt := m.opts.NewAttemptID()
		sentAt := m.opts.Clock.Now()
		written, writes := m.heldWrites(shards, attempt, release)
		if len(writes) == 0 {
			return true
		}
		result := m.opts.Table.Transact(ctx, attempt, writes)
		switch result.Kind {
		case core.TransactCommitted:
			m.confirm(written, result.Versions, sentAt, release)
			return true
		case core.TransactConflict:
			for _, row := range result.Conflicts {
				m.reconcile(row)
			}
		default:
			return false
		}
	}
	return false
}

// heldWrites returns the writes that renew or release the leases of the given shards, and
// the shards written. It skips leases that are lost, and for a release those in use.
func (m *LeaseManager) heldWrites(shards []int, attempt core.AttemptID, release bool) (written []int, writes []core.Write) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, shard := range shards {
		h, found := m.held[shard]
		if !found || release && h.pins > 0 {
			continue
		}
		row := leaseRow{
			Holder: m.opts.Self, Fence: h.Fence, Attempt: attempt, Released: release, Era: core.EraOf(h.version),
		}
		writes = append(writes, core.Write{Key: ShardKey(shard), Value: encode(row), Expected: h.version})
		written = append(written, shard)
		if release {
			// The lease ends before the release is sent, because the reply may be lost.
			h.ExpiresAt = 0
		}
	}
	return written, writes
}

func (m *LeaseManager) confirm(shards []int, versions []uint64, sentAt core.Instant, release bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, shard := range shards {
		h, found := m.held[shard]
		switch {
		case !found:
		case core.EraOf(versions[i]) != core.EraOf(h.version):
			// The table has gone back. The write may have replaced the lease of another instance
			// that was given the same version.
			delete(m.held, shard)
			m.record(EventShardLost, shard, h.Fence)
		case release:
			delete(m.held, shard)
			m.record(EventShardReleased, shard, h.Fence)
		default:
			h.version = versions[i]
			h.ExpiresAt = sentAt.Add(m.opts.LeaseDuration)
		}
	}
}

// reconcile compares a shard's current row with the lease in memory. It adopts the row's
// version and returns true if the row belongs to the same acquisition. Otherwise it drops
// the lease and returns false. It also drops a lease that has expired if the row is of another
// era: another instance may have held the lease since, with a higher fence, in an acquisition that
// the older copy of the table lacks.
func (m *LeaseManager) reconcile(row core.Row) bool {
	shard, err := strconv.Atoi(row.Key[len("Shard/"):])
	if err != nil {
		return false
	}
	lease := decodeLease(row)
	m.mu.Lock()
	defer m.mu.Unlock()
	h, found := m.held[shard]
	if !found {
		return false
	}
	isSafe := core.EraOf(row.Version) == core.EraOf(h.version) || m.opts.Clock.Now() < h.ExpiresAt
	if isSafe && lease.Holder == m.opts.Self && lease.Fence == h.Fence && !lease.Released {
		h.version = row.Version
		return true
	}
	delete(m.held, shard)
	m.record(EventShardLost, shard, h.Fence)
	return false
}

// Drop removes a lease from memory after an order under it was answered with
// core.OrderStale.
func (m *LeaseManager) Drop(shard int, fence core.Fence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, found := m.held[shard]; found && h.Fence == fence {
		delete(m.held, shard)
		m.record(EventShardLost, shard, fence)
	}
}

// Release releases the leases that no order uses and returns how many leases remain. No
// order starts after the first call.
func (m *LeaseManager) Release(ctx context.Context) int {
	m.mu.Lock()
	m.releasing = true
	m.mu.Unlock()
	m.writeHeld(ctx, m.heldShards(func(h *heldLease) bool { return h.pins == 0 }), true)
	return len(m.heldShards(func(*heldLease) bool { return true }))
}

// handOver releases the leases of shards for which another instance is preferred, and all
// leases if this instance is not among the members. It skips leases that are in use or
// younger than handOverAfterLeases lease durations.
func (m *LeaseManager) handOver(ctx context.Context, members []core.InstanceID) {
	now := m.opts.Clock.Now()
	candidates := m.heldShards(func(h *heldLease) bool {
		return h.pins == 0 && now.Sub(h.acquiredAt) >= handOverAfterLeases*m.opts.LeaseDuration &&
			(rankOf(h.Shard, m.opts.Self, members, 1) != 0 || !slices.Contains(members, m.opts.Self))
	})
	m.writeHeld(ctx, candidates, true)
}

// heldShards returns the shards whose held lease matches, in ascending order.
func (m *LeaseManager) heldShards(match func(*heldLease) bool) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var shards []int
	for _, shard := range sortedShards(m.held) {
		if match(m.held[shard]) {
			shards = append(shards, shard)
		}
	}
	return shards
}

// Leases returns the leases that have not expired, ordered by shard.
func (m *LeaseManager) Leases() []Lease {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var leases []Lease
	for _, shard := range sortedShards(m.held) {
		if h := m.held[shard]; now < h.ExpiresAt {
			leases = append(leases, h.Lease)
		}
	}
	return leases
}

// Holds reports whether this instance holds the lease of a target's shard. If so, the
// caller must pass the target's load reports to Reconciler.Observe.
func (m *LeaseManager) Holds(target core.Target) bool {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	h, found := m.held[ShardOf(target, m.opts.Shards, m.opts.Groups)]
	return found && now < h.ExpiresAt
}

// Use returns the lease of a shard and the version of its row if a call may start under it now that no call
// of an earlier holder can follow. The call must end within OrderLifetime. The lease is not released until
// release is called, which must be done once.
func (m *LeaseManager) Use(shard int) (lease Lease, version uint64, release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease, version, ok = m.usableLease(shard)
	if !ok || m.opts.Clock.Now() < lease.UnfencedFrom {
		return Lease{}, 0, nil, false
	}
	m.held[shard].pins++
	return lease, version, func() { m.unpin(lease) }, true
}

// lease returns the lease of a shard and the version of its row. ok is false if no order
// may start under the lease now.
func (m *LeaseManager) lease(shard int) (lease Lease, version uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usableLease(shard)
}

// usableLease does the same as lease. The caller holds m.mu.
func (m *LeaseManager) usableLease(shard int) (lease Lease, version uint64, ok bool) {
	h, found := m.held[shard]
	if !found || m.releasing {
		return Lease{}, 0, false
	}
	remaining := h.ExpiresAt.Sub(m.opts.Clock.Now())
	return h.Lease, h.version, remaining > m.opts.OrderLifetime+m.opts.ClockMargin
}

// pin returns the lease of a shard if an order may start under it now. The lease is not
// released until unpin.
func (m *LeaseManager) pin(shard int) (Lease, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lease, _, ok := m.usableLease(shard)
	if ok {
		m.held[shard].pins++
	}
	return lease, ok
}

func (m *LeaseManager) unpin(lease Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, found := m.held[lease.Shard]; found && h.Fence == lease.Fence {
		h.pins--
	}
}

func (m *LeaseManager) record(kind core.EventKind, shard int, fence core.Fence) {
	m.opts.Recorder.Record(core.Event{
		Instance: m.opts.Self, Kind: kind,
		Detail: "shard " + strconv.Itoa(shard) + " fence " + strconv.FormatUint(uint64(fence), 10),
	})
}
