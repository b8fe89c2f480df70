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

// watchRanks is how many instances watch a shard: the preferred one and two that
// stand in for it when the views of the members differ. At 128 shards and a watch
// every 5 s this costs the fleet 77 row reads/s.
const watchRanks = 3

// minimumHold, in leases, keeps a shard from moving back and forth while the views
// of the members differ.
const minimumHold = 4

// LeaseManager acquires, renews, hands over and releases shard leases. Step and Release
// are called by one goroutine at a time; the other methods are safe for concurrent
// use. No lock is held during a call of the table.
type LeaseManager struct {
	opts      Options
	mu        sync.Mutex
	held      map[int]*holding
	seen      map[int]sighting
	renewAt   core.Instant
	watchAt   core.Instant
	releasing bool
	// ranked holds this instance's ranks among rankedBy, the last members seen.
	ranked   map[int]int
	rankedBy []core.InstanceID
	done     chan struct{}
}

// holding is a lease and what is needed to renew it.
type holding struct {
	Lease
	version uint64
	since   core.Instant
	uses    int
}

// sighting is another's lease row, and when this version was first seen.
type sighting struct {
	row     core.Row
	at      core.Instant
	attempt core.AttemptID // of an own acquisition with an unknown outcome
	sentAt  core.Instant
}

// NewLeaseManager returns a keeper without leases. It starts nothing.
func NewLeaseManager(opts Options) *LeaseManager {
	return &LeaseManager{
		opts: opts, held: map[int]*holding{}, seen: map[int]sighting{}, done: make(chan struct{}),
	}
}

// Run keeps leases until ctx ends and then releases them, for at most ReleaseTimeout.
func (k *LeaseManager) Run(ctx context.Context) {
	defer close(k.done)
	k.loop(ctx)
	limit := k.opts.Clock.Now().Add(cmp.Or(k.opts.ReleaseTimeout, k.opts.LeaseDuration))
	ctx, cancel := k.opts.Clock.WithDeadline(context.WithoutCancel(ctx), limit)
	defer cancel()
	ticker := time.NewTicker(k.opts.OrderLifetime / 10)
	defer ticker.Stop()
	for k.Release(ctx) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loop runs the keeper's duties until ctx ends.
func (k *LeaseManager) loop(ctx context.Context) {
	ticker := time.NewTicker(k.opts.RenewInterval / 5)
	defer ticker.Stop()
	for {
		k.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Done is closed when Run has ended.
func (k *LeaseManager) Done() <-chan struct{} { return k.done }

// Step renews the leases when that is due, watches the shards that this instance
// stands for, and acquires those that are free.
func (k *LeaseManager) Step(ctx context.Context) {
	members := k.opts.Members()
	if now := k.opts.Clock.Now(); now >= k.renewAt {
		k.handOver(ctx, members)
		k.renewAt = now.Add(k.opts.RenewInterval)
		if !k.renew(ctx) {
			k.renewAt = now.Add(k.opts.RenewInterval / 5)
		}
	}
	if now := k.opts.Clock.Now(); now >= k.watchAt {
		k.watchAt = now.Add(k.opts.RenewInterval)
		k.watch(ctx, members)
	}
}

// renew renews all held shards in one transaction. It returns false when it should
// be repeated soon.
func (k *LeaseManager) renew(ctx context.Context) bool {
	return k.writeHeld(ctx, k.shards(func(*holding) bool { return true }), false)
}

// writeHeld writes the rows of held shards, all in one transaction. A shard that was
// lost is dropped and the others are tried again.
func (k *LeaseManager) writeHeld(ctx context.Context, shards []int, release bool) bool {
	for range 3 {
		attempt := k.opts.NewAttemptID()
		sentAt := k.opts.Clock.Now()
		written, writes := k.heldWrites(shards, attempt, release)
		if len(writes) == 0 {
			return true
		}
		result := k.opts.Table.Transact(ctx, attempt, writes)
		switch result.Kind {
		case core.TransactCommitted:
			k.confirm(written, result.Versions, sentAt, release)
			return true
		case core.TransactConflict:
			for _, row := range result.Conflicts {
				k.reconcile(row)
			}
		default:
			return false
		}
	}
	return false
}

func (k *LeaseManager) heldWrites(shards []int, attempt core.AttemptID, release bool) (written []int, writes []core.Write) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, shard := range shards {
		h, found := k.held[shard]
		if !found || release && h.uses > 0 {
			continue
		}
		row := leaseRow{Holder: k.opts.Self, Fence: h.Fence, Attempt: attempt, Released: release}
		writes = append(writes, core.Write{Key: ShardKey(shard), Value: encode(row), Expected: h.version})
		written = append(written, shard)
		if release {
			// The holder gives up its authority before it sends the release, because the
			// reply may be lost.
			h.ExpiresAt = 0
		}
	}
	return written, writes
}

func (k *LeaseManager) confirm(shards []int, versions []uint64, sentAt core.Instant, release bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, shard := range shards {
		h, found := k.held[shard]
		switch {
		case !found:
		case release:
			delete(k.held, shard)
			k.record(EventShardReleased, shard, h.Fence)
		default:
			h.version = versions[i]
			h.ExpiresAt = sentAt.Add(k.opts.LeaseDuration)
		}
	}
}

// reconcile compares a shard's current row with the lease in memory. It returns
// false, and drops the lease, when the row belongs to another acquisition.
func (k *LeaseManager) reconcile(row core.Row) bool {
	shard, err := strconv.Atoi(row.Key[len("Shard/"):])
	if err != nil {
		return false
	}
	lease := decodeLease(row)
	k.mu.Lock()
	defer k.mu.Unlock()
	h, found := k.held[shard]
	if !found {
		return false
	}
	if lease.Holder == k.opts.Self && lease.Fence == h.Fence && !lease.Released {
		h.version = row.Version
		return true
	}
	delete(k.held, shard)
	k.record(EventShardLost, shard, h.Fence)
	return false
}

// Drop gives up a lease in memory after a target has seen a newer fence.
func (k *LeaseManager) Drop(shard int, fence core.Fence) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, found := k.held[shard]; found && h.Fence == fence {
		delete(k.held, shard)
		k.record(EventShardLost, shard, fence)
	}
}

// Release releases the leases that no order uses and returns how many remain. No
// order starts after the first call.
func (k *LeaseManager) Release(ctx context.Context) int {
	k.mu.Lock()
	k.releasing = true
	k.mu.Unlock()
	k.writeHeld(ctx, k.shards(func(h *holding) bool { return h.uses == 0 }), true)
	return len(k.shards(func(*holding) bool { return true }))
}

// handOver releases shards that another instance should hold.
func (k *LeaseManager) handOver(ctx context.Context, members []core.InstanceID) {
	now := k.opts.Clock.Now()
	moved := k.shards(func(h *holding) bool {
		return h.uses == 0 && now.Sub(h.since) >= minimumHold*k.opts.LeaseDuration &&
			(rankOf(h.Shard, k.opts.Self, members, 1) != 0 || !slices.Contains(members, k.opts.Self))
	})
	k.writeHeld(ctx, moved, true)
}

func (k *LeaseManager) shards(match func(*holding) bool) []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var shards []int
	for _, shard := range sortedShards(k.held) {
		if match(k.held[shard]) {
			shards = append(shards, shard)
		}
	}
	return shards
}

// Leases returns the leases held now that have time left, in the order of shards.
func (k *LeaseManager) Leases() []Lease {
	now := k.opts.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var leases []Lease
	for _, shard := range sortedShards(k.held) {
		if h := k.held[shard]; now < h.ExpiresAt {
			leases = append(leases, h.Lease)
		}
	}
	return leases
}

// Holds reports whether this instance holds the lease of a target's shard. Its load
// reports must then reach Commander.Observe.
func (k *LeaseManager) Holds(target core.Target) bool {
	now := k.opts.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	h, found := k.held[ShardOf(target, k.opts.Shards, k.opts.Groups)]
	return found && now < h.ExpiresAt
}

// lease returns the lease of a shard if an order may start under it now, and the
// version of its row.
func (k *LeaseManager) lease(shard int) (lease Lease, version uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current(shard)
}

func (k *LeaseManager) current(shard int) (lease Lease, version uint64, ok bool) {
	h, found := k.held[shard]
	if !found || k.releasing {
		return Lease{}, 0, false
	}
	allowance := h.ExpiresAt.Sub(k.opts.Clock.Now())
	return h.Lease, h.version, allowance > k.opts.OrderLifetime+k.opts.ClockMargin
}

// enter returns the lease of a shard if an order may start under it now, and keeps
// it from being released until leave.
func (k *LeaseManager) enter(shard int) (Lease, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	lease, _, ok := k.current(shard)
	if ok {
		k.held[shard].uses++
	}
	return lease, ok
}

func (k *LeaseManager) leave(lease Lease) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, found := k.held[lease.Shard]; found && h.Fence == lease.Fence {
		h.uses--
	}
}

func (k *LeaseManager) record(kind core.EventKind, shard int, fence core.Fence) {
	k.opts.Recorder.Record(core.Event{
		Instance: k.opts.Self, Kind: kind,
		Detail: "shard " + strconv.Itoa(shard) + " fence " + strconv.FormatUint(uint64(fence), 10),
	})
}
