package authority

import (
	"context"
	"slices"
	"time"

	"gorseline/core"
)

// watch reads the rows of the shards that this instance stands for and acquires
// those whose lease has ended.
func (k *LeaseManager) watch(ctx context.Context, members []core.InstanceID) {
	ranks := k.ranks(members)
	if len(ranks) == 0 {
		return
	}
	shards := sortedShards(ranks)
	keys := make([]string, len(shards))
	for i, shard := range shards {
		keys[i] = ShardKey(shard)
	}
	rows, err := k.opts.Table.Read(ctx, keys...)
	if err != nil || len(rows) != len(keys) {
		return // the next watch reads again; a sighting stays valid meanwhile
	}
	k.acquire(ctx, k.sight(shards, rows, ranks))
}

// ranks returns this instance's rank for each shard that it watches.
func (k *LeaseManager) ranks(members []core.InstanceID) map[int]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	ranks := map[int]int{}
	if k.releasing {
		return ranks
	}
	if k.ranked == nil || !slices.Equal(members, k.rankedBy) {
		k.rankedBy, k.ranked = slices.Clone(members), map[int]int{}
		for shard := range k.opts.Shards {
			rank := rankOf(shard, k.opts.Self, members, watchRanks)
			if rank < watchRanks && slices.Contains(members, k.opts.Self) {
				k.ranked[shard] = rank
			}
		}
	}
	for shard, rank := range k.ranked {
		if _, held := k.held[shard]; !held {
			ranks[shard] = rank
		}
	}
	return ranks
}

// sight notes the rows and returns the shards whose lease has ended. The time is
// read after the rows arrived: their renewals were sent before that.
func (k *LeaseManager) sight(shards []int, rows []core.Row, ranks map[int]int) (due []int) {
	now := k.opts.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, shard := range shards {
		if _, held := k.held[shard]; held {
			continue
		}
		row, lease := rows[i], decodeLease(rows[i])
		seen, known := k.seen[shard]
		if known && seen.attempt != "" && lease.Attempt == seen.attempt {
			// An own acquisition whose reply was lost. It counts from before it was sent.
			k.hold(shard, row.Version, seen.sentAt)
			continue
		}
		if !known || seen.row.Version != row.Version {
			seen = sighting{row: row, at: now}
			k.seen[shard] = seen
		}
		wait := k.opts.LeaseDuration + k.opts.ClockMargin
		if row.Version == 0 || lease.Released {
			wait = 0
		}
		// Instances of a lower rank give those before them a lease's time each.
		wait += time.Duration(ranks[shard]) * k.opts.LeaseDuration
		if k.isOwn(lease) {
			wait = 0
		}
		if now.Sub(seen.at) >= wait {
			due = append(due, shard)
			continue
		}
		// A lease that ends before the next watch is looked at when it ends.
		k.watchAt = min(k.watchAt, seen.at.Add(wait))
	}
	return due
}

// isOwn reports whether a lease was held by this process or an earlier one of its instance.
func (k *LeaseManager) isOwn(lease leaseRow) bool {
	return k.opts.SingleProcess && lease.Holder == k.opts.Self
}

// acquire takes the shards in one transaction. Each write expects the version that
// was seen, so it fails if the holder renewed or another was faster.
func (k *LeaseManager) acquire(ctx context.Context, shards []int) {
	if len(shards) == 0 {
		return
	}
	attempt := k.opts.NewAttemptID()
	sentAt := k.opts.Clock.Now()
	writes := make([]core.Write, len(shards))
	k.mu.Lock()
	for i, shard := range shards {
		seen := k.seen[shard]
		seen.attempt, seen.sentAt = attempt, sentAt
		k.seen[shard] = seen
		value := encode(leaseRow{Holder: k.opts.Self, Attempt: attempt})
		writes[i] = core.Write{Key: ShardKey(shard), Value: value, Expected: seen.row.Version}
	}
	k.mu.Unlock()
	result := k.opts.Table.Transact(ctx, attempt, writes)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch result.Kind {
	case core.TransactCommitted:
		for i, shard := range shards {
			k.hold(shard, result.Versions[i], sentAt)
		}
	case core.TransactConflict:
		// Shards that did not conflict are tried again without those that did.
		k.watchAt = sentAt
	}
}

// hold notes a lease whose acquisition was sent at sentAt and made the given version.
// A lease that ended before the reply came may be another's by now; it counts as a row
// to watch again.
func (k *LeaseManager) hold(shard int, version uint64, sentAt core.Instant) {
	now := k.opts.Clock.Now()
	quiet := k.opts.ClockMargin
	if !k.isOwn(decodeLease(k.seen[shard].row)) {
		quiet = max(quiet, k.opts.HolderGap)
	}
	delete(k.seen, shard)
	until := sentAt.Add(k.opts.LeaseDuration)
	if now >= until {
		return
	}
	h := &holding{version: version, since: now, Lease: Lease{
		Shard: shard, Fence: core.Fence(version), ExpiresAt: until,
		UnfencedFrom: now.Add(k.opts.OrderLifetime + quiet),
	}}
	k.held[shard] = h
	k.record(EventShardAcquired, shard, h.Fence)
}
