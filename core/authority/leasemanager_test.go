package authority_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

// Guards against a takeover before the lease has expired, and against one that comes too
// late: it is due one watch interval, one lease duration and the clock margin after the
// last renewal.
func TestTakeoverWaitsForLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, "a", "b")
		a, b := f.instance(t, "a", nil), f.instance(t, "b", nil)
		time.Sleep(90 * time.Second)
		if a.holds()+b.holds() != 8 || a.holds() == 0 || b.holds() == 0 {
			t.Fatalf("a holds %d and b holds %d of 8 shards", a.holds(), b.holds())
		}
		a.stop()
		f.members.Store(&[]core.InstanceID{"b"})
		for a.holds() > 0 {
			if b.holds()+a.holds() > 8 {
				t.Fatal("two instances hold a shard")
			}
			time.Sleep(100 * time.Millisecond)
		}
		// b reads the last renewal up to 5 s after it, the watch interval. It then waits for
		// the lease duration and the clock margin, and its next step is at most 1 s later.
		time.Sleep(6600 * time.Millisecond)
		if b.holds() != 8 {
			t.Errorf("b holds %d of 8 shards 6.6 s after the leases ended", b.holds())
		}
		b.stop()
	})
}

// Guards against renewals that take one transaction per shard.
func TestRenewalIsOneTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(128, "a")
		a := f.instance(t, "a", nil)
		time.Sleep(500 * time.Millisecond)
		transactionsBefore, rowsBefore := f.table.counts()
		time.Sleep(100 * time.Second)
		transactions, rows := f.table.counts()
		transactions, rows = transactions-transactionsBefore, rows-rowsBefore
		t.Logf("128 shards for 100 s: %d transactions, %d rows", transactions, rows)
		if transactions > 20 || rows > 20*128 {
			t.Errorf("%d transactions with %d rows in 100 s", transactions, rows)
		}
		a.stop()
	})
}

// Guards against a planned stop that leaves shards without a holder for a lease duration.
func TestReleaseHandsOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, "a")
		ctx, stop := context.WithCancel(t.Context())
		a := f.instance(t, "a", nil)
		time.Sleep(2 * time.Second)
		a.stop()
		time.Sleep(time.Second)
		go a.leases.Run(ctx)
		synctest.Wait()
		stop()
		<-a.leases.Done()
		if released := f.journal.count(authority.EventShardReleased); released != 4 {
			t.Errorf("%d of 4 shards were released", released)
		}
		f.members.Store(&[]core.InstanceID{"b"})
		b := f.instance(t, "b", nil)
		time.Sleep(time.Second)
		if b.holds() != 4 {
			t.Errorf("b holds %d of 4 released shards after 1 s", b.holds())
		}
		b.stop()
	})
}

// Guards against a shard that stays with an instance although another one is preferred,
// and against a shard that moves more than once.
func TestHandOverToPreferredInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(16, "a")
		a := f.instance(t, "a", nil)
		time.Sleep(2 * time.Second)
		f.members.Store(&[]core.InstanceID{"a", "b"})
		b := f.instance(t, "b", nil)
		time.Sleep(5 * time.Minute)
		if moved := f.journal.count(authority.EventShardReleased); moved != b.holds() || a.holds()+b.holds() != 16 {
			t.Errorf("a holds %d, b holds %d, %d moves", a.holds(), b.holds(), moved)
		}
		a.stop()
		b.stop()
	})
}
