package check

import (
	"context"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/duty"
)

// usageTable is the table as the duty of reporting usage sees it. Mutations disable safeguards.
type usageTable struct {
	core.Table
	i *instance
}

// Read reads rows.
func (t usageTable) Read(ctx context.Context, keys ...string) ([]core.Row, error) {
	rows, err := t.Table.Read(ctx, keys...)
	if t.i.w.mutation.noUsageEras {
		for i := range rows {
			rows[i].Era = 0
			if rows[i].Key == duty.ReportKey {
				rows[i].Version %= core.EraVersions
			}
		}
	}
	return rows, err
}

// Transact runs a transaction.
func (t usageTable) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	m := &t.i.w.mutation
	t.i.usageFence = 0
	if leases := t.i.leaseManager.Leases(); len(leases) > 0 && leases[0].Shard == duty.Shard {
		t.i.usageFence = leases[0].Fence
	}
	committed := core.TransactResult{Kind: core.TransactCommitted, Versions: []uint64{writes[0].Expected, writes[1].Expected}}
	if m.noUsageFix {
		committed.Versions[1] = core.VersionInEra(core.EraOf(writes[0].Expected), 0)
		return committed
	}
	sent := slices.Clone(writes)
	if m.noUsageEras && core.EraOf(writes[0].Expected) > 0 {
		sent[1].Expected += core.VersionInEra(core.EraOf(writes[0].Expected), 0)
	}
	if m.noUsageLease {
		sent = sent[1:]
	}
	result := t.transact(ctx, attempt, sent)
	if m.noUsageLease && result.Kind == core.TransactCommitted {
		result.Versions = append([]uint64{writes[0].Expected}, result.Versions...)
	}
	if m.noUsageReread && result.Kind == core.TransactUnknown {
		committed.Versions[1] = core.VersionInEra(core.EraOf(writes[0].Expected), writes[1].Expected%core.EraVersions)
		return committed
	}
	if m.noUsageEras {
		t.hideEras(&result, writes)
	}
	return result
}

// transact runs a transaction, or loses it if that fault is due. A lost transaction may run later.
func (t usageTable) transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	w := t.i.w
	if !w.loseFix {
		return t.Table.Transact(ctx, attempt, writes)
	}
	w.loseFix = false
	w.faults["FixLost"]++
	if w.chance(0.5) {
		w.after(w.between(callTimeout, 15*time.Second), func() {
			if result := w.table.Transact(context.Background(), attempt, writes); result.Kind == core.TransactCommitted {
				w.activity["FixLate"]++
				w.recordReports(t.i, attempt, writes)
			}
		})
	}
	end := t.i.killAndReplace
	if w.chance(0.5) {
		end = t.i.leave
	}
	w.after(w.between(0, 3*time.Second), end)
	w.sleep(w.between(20*time.Millisecond, time.Second))
	return core.TransactResult{Kind: core.TransactUnknown, Err: core.ErrUnavailable}
}

// hideEras removes the eras from the versions of the row of reports.
func (usageTable) hideEras(result *core.TransactResult, writes []core.Write) {
	if result.Kind == core.TransactCommitted {
		result.Versions[0] = writes[0].Expected
		result.Versions[1] %= core.EraVersions
	}
	for i := range result.Conflicts {
		result.Conflicts[i].Era = 0
	}
}
