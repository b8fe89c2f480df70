package check

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/standin/table"
)

// interruptedTable calls interrupt before the next transaction.
type interruptedTable struct {
	*table.Table
	interrupt func()
}

func (t *interruptedTable) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if run := t.interrupt; run != nil {
		t.interrupt = nil
		run()
	}
	return t.Table.Transact(ctx, attempt, writes)
}

type discardEvents struct{}

func (discardEvents) Record(core.Event) {}

func newLeaseManager(id core.InstanceID, t core.Table) *authority.LeaseManager {
	serial := 0
	return authority.NewLeaseManager(authority.Options{
		Self: id, Shards: 1, Groups: 1, Table: t, Clock: core.NewDeadlineClock(), Recorder: discardEvents{},
		NewAttemptID: func() core.AttemptID {
			serial++
			return core.AttemptID(string(id) + strconv.Itoa(serial))
		},
		Members: func() []core.InstanceID { return []core.InstanceID{id} }, SingleProcess: true,
		Timing: authority.HolderGapTiming(time.Second),
	})
}

// Guards against a lease that is acquired on the strength of a row that the table has replaced
// by an older copy since it was read.
func TestAcquisitionAcrossErasIsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tbl := &interruptedTable{Table: table.New()}
		empty := tbl.Copy()
		tbl.interrupt = func() { tbl.GoBack(empty) }
		m := newLeaseManager("a", tbl)
		m.Step(t.Context())
		if leases := m.Leases(); len(leases) > 0 {
			t.Errorf("holds %+v at once", leases)
		}
		for range 10 {
			time.Sleep(time.Second)
			m.Step(t.Context())
		}
		if leases := m.Leases(); len(leases) != 1 || core.EraOf(uint64(leases[0].Fence)) != 1 {
			t.Errorf("holds %+v, want one lease with a fence of the new era", leases)
		}
	})
}

// Guards against a holder whose renewal replaces the lease of its successor, because the table
// has gone back and has given the successor the same version, and which then goes on as holder.
func TestRenewalAcrossErasIsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tbl := table.New()
		empty := tbl.Copy()
		a, b := newLeaseManager("a", tbl), newLeaseManager("b", tbl)
		a.Step(t.Context())
		before := a.Leases()
		if len(before) != 1 {
			t.Fatal("a holds no lease")
		}
		tbl.GoBack(empty)
		for range 8 {
			if b.Step(t.Context()); len(a.Leases())+len(b.Leases()) > 1 {
				t.Fatal("two instances hold the lease")
			}
			if len(b.Leases()) > 0 {
				break // before a renewal takes another version
			}
			time.Sleep(time.Second)
		}
		after := b.Leases()
		if len(after) != 1 || after[0].Fence <= before[0].Fence {
			t.Fatalf("b holds %+v after %+v", after, before)
		}
		a.Step(t.Context())
		if leases := a.Leases(); len(leases) > 0 {
			t.Errorf("a holds %+v after its renewal", leases)
		}
	})
}
