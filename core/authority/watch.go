package authority

import (
	"context"
	"slices"
	"time"

	"gorseline/core"
)

// watch reads the rows of the shards that this instance watches and acquires those whose
// lease has expired.
func (m *LeaseManager) watch(ctx context.Context, members []core.InstanceID) {
	ranks := m.ranks(members)
	if len(ranks) == 0 {
		return
	}
	shards := sortedShards(ranks)
	keys := make([]string, len(shards))
	for i, shard := range shards {
		keys[i] = ShardKey(shard)
	}
	rows, err := m.opts.Table.Read(ctx, keys...)
	if err != nil || len(rows) != len(keys) {
		return // the next watch reads the rows again; observed rows stay valid
	}
	m.acquire(ctx, m.observe(shards, rows, ranks))
}

// ranks returns the rank of this instance for each shard that it watches and doesn't hold.
func (m *LeaseManager) ranks(members []core.InstanceID) map[int]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	ranks := map[int]int{}
	if m.releasing {
		return ranks
	}
	if m.rankByShard == nil || !slices.Equal(members, m.rankedMembers) {
		m.rankedMembers, m.rankByShard = slices.Clone(members), map[int]int{}
		for shard := range m.opts.Shards {
			rank := rankOf(shard, m.opts.Self, members, watchersPerShard)
			if rank < watchersPerShard && slices.Contains(members, m.opts.Self) {
				m.rankByShard[shard] = rank
			}
		}
	}
	for shard, rank := range m.rankByShard {
		if _, held := m.held[shard]; !held {
			ranks[shard] = rank
		}
	}
	return ranks
}

// observe stores the rows and returns the shards whose lease has expired. It reads the
// clock after the rows have arrived, so that every renewal seen in them was sent earlier.
func (m *LeaseManager) observe(shards []int, rows []core.Row, ranks map[int]int) (due []int) {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, shard := range shards {
		if _, held := m.held[shard]; held {
			continue
		}
		row, lease := rows[i], decodeLease(rows[i])
		observed, known := m.observed[shard]
		isNewEra := known && observed.row.Era != row.Era
		if known && !isNewEra && observed.attempt != "" && lease.Attempt == observed.attempt {
			// This process acquired the lease but the reply was lost. The lease starts when
			// the acquisition was sent.
			m.addLease(shard, row.Version, observed.sentAt)
			continue
		}
		if !known || isNewEra || observed.row.Version != row.Version {
			observed = observedRow{row: row, firstSeen: now}
			m.observed[shard] = observed
		}
		wait := m.opts.LeaseDuration + m.opts.ClockMargin
		isCurrent := lease.isCurrent(row)
		if isCurrent && (row.Version == 0 || lease.Released) {
			wait = 0
		}
		// An instance waits one more lease duration for each instance that precedes it.
		wait += time.Duration(ranks[shard]) * m.opts.LeaseDuration
		if isCurrent && m.isOwnInstance(lease) {
			wait = 0
		}
		if now.Sub(observed.firstSeen) >= wait {
			due = append(due, shard)
			continue
		}
		// A wait that ends before the next watch brings that watch forward.
		m.nextWatch = min(m.nextWatch, observed.firstSeen.Add(wait))
	}
	return due
}

// isOwnInstance reports whether the holder of a lease is this process or an earlier
// process of the same instance, which no longer runs.
func (m *LeaseManager) isOwnInstance(lease leaseRow) bool {
	return m.opts.SingleProcess && lease.Holder == m.opts.Self
}

// acquire acquires the leases of the shards in one transaction. Each write expects the
// observed version, so it fails if the holder has renewed the lease or another instance
// has acquired it.
func (m *LeaseManager) acquire(ctx context.Context, shards []int) {
	if len(shards) == 0 {
		return
	}
	attempt := m.opts.NewAttemptID()
	sentAt := m.opts.Clock.Now()
	writes := make([]core.Write, len(shards))
	m.mu.Lock()
	for i, shard := range shards {
		observed := m.observed[shard]
		observed.attempt, observed.sentAt = attempt, sentAt
		m.observed[shard] = observed
		value := encode(leaseRow{Holder: m.opts.Self, Attempt: attempt, Era: observed.row.Era})
		writes[i] = core.Write{Key: ShardKey(shard), Value: value, Expected: observed.row.Version}
	}
	m.mu.Unlock()
	result := m.opts.Table.Transact(ctx, attempt, writes)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch result.Kind {
	case core.TransactCommitted:
		for i, shard := range shards {
			if core.EraOf(result.Versions[i]) != m.observed[shard].row.Era {
				// The row was read before the table went back, when another instance may have
				// held the lease.
				delete(m.observed, shard)
				continue
			}
			m.addLease(shard, result.Versions[i], sentAt)
		}
	case core.TransactConflict:
		// The next watch reads the rows again and retries the shards without a conflict.
		m.nextWatch = sentAt
	}
}

// addLease adds a lease whose acquisition was sent at sentAt and wrote the given version.
// It ignores a lease that has expired by now: another instance may hold it, and the next
// watch reads its row. The caller holds m.mu.
func (m *LeaseManager) addLease(shard int, version uint64, sentAt core.Instant) {
	now := m.opts.Clock.Now()
	gap := m.opts.ClockMargin
	before := m.observed[shard].row
	if lease := decodeLease(before); !lease.isCurrent(before) || !m.isOwnInstance(lease) {
		gap = max(gap, m.opts.HolderGap)
	}
	delete(m.observed, shard)
	until := sentAt.Add(m.opts.LeaseDuration)
	if now >= until {
		return
	}
	h := &heldLease{version: version, acquiredAt: now, Lease: Lease{
		Shard: shard, Fence: core.Fence(version), ExpiresAt: until,
		UnfencedFrom: now.Add(m.opts.OrderLifetime + gap),
	}}
	m.held[shard] = h
	m.record(EventShardAcquired, shard, h.Fence)
}
