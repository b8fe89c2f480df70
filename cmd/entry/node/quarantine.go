package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/quarantine"
	"gorseline/io/digest"
	"gorseline/platform"
)

// quarantinePrefix is the key prefix of the rows of quarantined traits.
const quarantinePrefix = "Quarantine/"

const (
	// minSyncPause and maxSyncPause bound the time from a change of the quarantined traits to its
	// comparison with the store. All instances compare, so that a record outlives those that have
	// found it; the first one writes.
	minSyncPause = 200 * time.Millisecond
	maxSyncPause = 3 * time.Second
	// syncRetryPause is the pause after a failed comparison.
	syncRetryPause = time.Second
	// syncInterval is the time between two comparisons while traits are quarantined, so that a trait
	// that an operator releases in the store is released everywhere.
	syncInterval = time.Minute
	// probeInterval is the time between two checks whether a probe is due.
	probeInterval = 10 * time.Second
)

// quarantineRow is the value of the row Quarantine/<trait>, encoded as JSON.
type quarantineRow struct {
	Revision   uint64
	IsReleased bool   `json:",omitempty"`
	Probes     uint32 `json:",omitempty"`
	// ProbeAt is in Unix seconds.
	ProbeAt int64 `json:",omitempty"`
	// IsRequest is set if the trait is a whole request instead of a part of prompts.
	IsRequest bool `json:",omitempty"`
}

// quarantineKeeper stores the quarantined traits, so that they are known after a restart of all
// instances, and allows probes of them, one for the whole fleet.
type quarantineKeeper struct {
	table   core.Table
	store   *platform.Store
	digests *digest.Node
	clock   core.ClockProvider
	log     log.Interface
	done    chan struct{}
}

func newQuarantineKeeper(
	lc fx.Lifecycle, table core.Table, store *platform.Store, digests *digest.Node, clock core.ClockProvider, l log.Interface,
) *quarantineKeeper {
	k := &quarantineKeeper{table: table, store: store, digests: digests, clock: clock, log: l, done: make(chan struct{})}
	lifecycle.Register(lc, k)
	return k
}

// Done returns a channel that is closed when Run has ended.
func (k *quarantineKeeper) Done() <-chan struct{} { return k.done }

// Run compares the quarantined traits with the store at the start, after changes, in each era of the
// store and at intervals.
func (k *quarantineKeeper) Run(ctx context.Context) {
	defer close(k.done)
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	next := time.Duration(0)
	for {
		if next > 0 && !k.wait(ctx, next, probes.C) {
			return
		}
		// The channel is taken before the read, so that no era that begins during it is missed.
		_, eraChanged := k.store.Era()
		if err := k.sync(ctx); err != nil {
			if ctx.Err() != nil {
				return
			}
			k.log.WithError(err).Warn("QuarantineNotSynchronised")
			next = syncRetryPause
			continue
		}
		next = k.waitForChange(ctx, eraChanged, probes.C)
		if next == 0 {
			return
		}
	}
}

// wait waits and allows probes meanwhile. It returns false if ctx ends.
func (k *quarantineKeeper) wait(ctx context.Context, d time.Duration, probes <-chan time.Time) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-probes:
			k.allowProbes(ctx)
		case <-timer.C:
			return true
		}
	}
}

// waitForChange waits until the traits are to be compared again and returns the pause before that, or
// 0 if ctx ends.
func (k *quarantineKeeper) waitForChange(ctx context.Context, eraChanged <-chan struct{}, probes <-chan time.Time) time.Duration {
	interval := time.NewTimer(syncInterval)
	defer interval.Stop()
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-k.digests.FindingsChanged():
			return minSyncPause + rand.N(maxSyncPause-minSyncPause)
		case <-eraChanged:
			return minSyncPause + rand.N(announceSpread)
		case <-probes:
			k.allowProbes(ctx)
		case <-interval.C:
			if k.digests.Findings().Count() > 0 {
				return minSyncPause
			}
			interval.Reset(syncInterval)
		}
	}
}

// sync takes over newer records from the store and writes those that are missing there.
func (k *quarantineKeeper) sync(ctx context.Context) error {
	rows, err := k.table.Scan(ctx, quarantinePrefix, "", quarantine.MaxFindings)
	if err != nil {
		return errors.Wrap(err, "read quarantined traits")
	}
	stored := make(map[uint64]core.Row, len(rows))
	for _, row := range rows {
		finding, err := decodeFinding(row)
		if err != nil {
			k.log.WithFields(log.Fields{"Key": row.Key, "Error": err.Error()}).Warn("QuarantineRowIgnored")
			continue
		}
		stored[finding.Trait] = row
		k.digests.MergeFinding(finding, digest.SourceStore)
	}
	for _, finding := range k.digests.Findings().All() {
		row, ok := stored[finding.Trait]
		if before, err := decodeFinding(row); ok && err == nil && before.Revision >= finding.Revision {
			continue
		}
		// A conflict means that another instance has written the row; it is read at the next comparison.
		if result := k.write(ctx, finding, row.Version); result.Kind == core.TransactUnknown || result.Kind == core.TransactUnavailable {
			return errors.Errorf("write quarantined trait: %v", result.Err)
		}
	}
	return nil
}

func (k *quarantineKeeper) write(ctx context.Context, f quarantine.Finding, expected uint64) core.TransactResult {
	value, err := json.Marshal(quarantineRow{f.Revision, f.IsReleased, f.Probes, f.ProbeAt, f.Kind == core.TraitRequest})
	if err != nil {
		panic(err) // unreachable: all values can be encoded
	}
	write := core.Write{Key: quarantinePrefix + core.FormatTrait(f.Trait), Value: value, Expected: expected}
	return k.table.Transact(ctx, "", []core.Write{write})
}

func decodeFinding(row core.Row) (quarantine.Finding, error) {
	trait, err := strconv.ParseUint(strings.TrimPrefix(row.Key, quarantinePrefix), 16, 64)
	if err != nil {
		return quarantine.Finding{}, errors.Wrap(err, "trait")
	}
	var value quarantineRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return quarantine.Finding{}, errors.Wrap(err, "value")
	}
	finding := quarantine.Finding{
		Trait: trait, Revision: value.Revision, IsReleased: value.IsReleased, Probes: value.Probes, ProbeAt: value.ProbeAt,
	}
	if value.IsRequest {
		finding.Kind = core.TraitRequest
	}
	return finding, nil
}

// allowProbes lets one request with a quarantined trait through if a probe is due and no other
// instance has taken it.
func (k *quarantineKeeper) allowProbes(ctx context.Context) {
	for _, finding := range k.digests.Findings().DueProbes(k.clock.Now(), time.Now()) {
		rows, err := k.table.Read(ctx, quarantinePrefix+core.FormatTrait(finding.Trait))
		if err != nil {
			k.log.WithError(err).Warn("ProbeNotTaken")
			return
		}
		stored, err := decodeFinding(rows[0])
		if err != nil || stored.Revision != finding.Revision || stored.IsReleased {
			continue // the next comparison brings the newer record
		}
		next := finding.WithNextProbe(time.Now())
		if result := k.write(ctx, next, rows[0].Version); result.Kind != core.TransactCommitted {
			continue // another instance has taken the probe, or may have
		}
		k.digests.MergeFinding(next, digest.SourceProbe)
		k.digests.Findings().AllowProbe(finding.Trait)
	}
}

// registerQuarantineGauges registers the counts of lost requests and quarantined traits.
func registerQuarantineGauges(i *instruments, d *digest.Node) {
	i.registerGauge("PartsQuarantined", func() int64 { return int64(d.QuarantineStats().Parts) })
	i.registerGauge("RequestsQuarantined", func() int64 { return int64(d.QuarantineStats().Requests) })
	i.registerGauge("RequestsLost", func() int64 { return int64(d.QuarantineStats().Lost) })
	i.registerGauge("LossesDropped", func() int64 { return int64(d.QuarantineStats().Dropped) })
}
