package table_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	client "gorseline/io/table"
	"gorseline/standin/table"
)

// attemptIDs returns a generator of unique attempt IDs.
func attemptIDs() func() core.AttemptID {
	var serial atomic.Int64
	return func() core.AttemptID { return core.AttemptID("g" + strconv.FormatInt(serial.Add(1), 10)) }
}

// Guards against a batch in which the failure of one transaction makes another fail, a
// transaction gets the result of another, or a reported outcome contradicts the table.
// Faults are random.
func TestBatcherIsolatesTransactions(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			tab := table.New()
			tab.SetFaults(table.Faults{Latency: time.Millisecond, ReplyLatency: time.Millisecond})
			ctx, cancel := context.WithCancel(t.Context())
			batcher := client.NewBatcher(client.BatcherOptions{
				Table: client.NewRetrier(client.RetrierOptions{Table: tab}), NewAttemptID: attemptIDs(),
			})
			go batcher.Run(ctx)
			var callers sync.WaitGroup
			kinds := make([]core.TransactKind, 300)
			keys := make([]string, len(kinds))
			for n := range kinds {
				keys[n] = strconv.Itoa(random.IntN(200))
				if random.IntN(20) == 0 {
					f := tab.Faults()
					f.LoseReplies, f.LoseRequests, f.RefuseWrites = random.IntN(2), random.IntN(2), random.IntN(2)
					tab.SetFaults(f)
				}
				callers.Go(func() {
					id := strconv.Itoa(n)
					kinds[n] = batcher.Transact(ctx, core.AttemptID(id), []core.Write{{Key: keys[n], Value: []byte(id)}}).Kind
				})
				if random.IntN(10) == 0 {
					time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
				}
			}
			callers.Wait()
			for n, kind := range kinds {
				rows, _ := tab.Read(ctx, keys[n])
				own := string(rows[0].Value) == strconv.Itoa(n)
				if own != (kind == core.TransactCommitted) && kind != core.TransactUnknown {
					t.Errorf("seed %d: transaction %d got %v, the row has its value: %v", seed, n, kind, own)
				}
				if kind == core.TransactConflict && rows[0].Version == 0 {
					t.Errorf("seed %d: transaction %d has a conflict on an absent row", seed, n)
				}
			}
			if c := tab.Counts(); c.Transactions > len(kinds)/3 {
				t.Errorf("seed %d: %d transactions for %d writes", seed, c.Transactions, len(kinds))
			}
			cancel()
		})
	}
}

// Guards against a batcher that exceeds its limits of size or waiting time.
func TestBatcherBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		batcher := client.NewBatcher(client.BatcherOptions{Table: tab, NewAttemptID: attemptIDs(), QueueSize: 128})
		results := make(chan core.TransactResult, 200)
		start := time.Now()
		for n := range 200 {
			go func() {
				results <- batcher.Transact(ctx, core.AttemptID(strconv.Itoa(n)), create(strconv.Itoa(n)))
			}()
		}
		synctest.Wait()
		go batcher.Run(ctx)
		count := map[core.TransactKind]int{}
		for range 200 {
			count[(<-results).Kind]++
		}
		if count[core.TransactCommitted] != 128 || count[core.TransactUnavailable] != 72 {
			t.Errorf("with a queue of 128: %v", count)
		}
		if c := tab.Counts(); c.Transactions != 2 || time.Since(start) > 3*client.BatchDelay {
			t.Errorf("%d transactions in %v", c.Transactions, time.Since(start))
		}
	})
}

// Guards against an unknown outcome for a write whose caller gives up while the write is
// queued, and against a write that runs after it was reported as not run.
func TestBatcherWithdrawsQueuedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New()
		tab.SetFaults(table.Faults{ReplyLatency: time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		batcher := client.NewBatcher(client.BatcherOptions{
			Table: tab, NewAttemptID: attemptIDs(),
			AwaitQuota: func(context.Context) error { time.Sleep(time.Second); return nil },
		})
		go batcher.Run(ctx)
		for key, c := range map[string]struct {
			wait time.Duration
			want core.TransactKind
		}{
			"waiting": {100 * time.Millisecond, core.TransactUnavailable},
			"sent":    {1500 * time.Millisecond, core.TransactUnknown},
			"patient": {3 * time.Second, core.TransactCommitted},
		} {
			limited, stop := context.WithTimeout(ctx, c.wait)
			if got := batcher.Transact(limited, core.AttemptID(key), create(key)); got.Kind != c.want {
				t.Errorf("%s: %v", key, got.Kind)
			}
			stop()
			time.Sleep(5 * time.Second)
			if rows, _ := tab.Read(ctx, key); (rows[0].Version > 0) != (c.want != core.TransactUnavailable) {
				t.Errorf("%s: row at version %d", key, rows[0].Version)
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Guards against a retry that is refused and thereby hides that the first attempt may have
// run.
func TestRetrierKeepsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			first table.Faults
			want  core.TransactKind
		}{
			{table.Faults{RefuseWrites: 9}, core.TransactUnavailable},
			{table.Faults{LoseReplies: 1}, core.TransactCommitted},
			{table.Faults{LoseRequests: 1}, core.TransactCommitted},
			{table.Faults{LoseReplies: 9}, core.TransactUnknown},
		} {
			tab := table.New()
			tab.SetFaults(c.first)
			retrier := client.NewRetrier(client.RetrierOptions{Table: tab})
			if got := retrier.Transact(t.Context(), "1", create("a")); got.Kind != c.want {
				t.Errorf("%+v: got %v, want %v", c.first, got.Kind, c.want)
			}
		}
		tab := table.New()
		tab.SetFaults(table.Faults{LoseReplies: 1})
		retrier := client.NewRetrier(client.RetrierOptions{
			Table: tab, Sleep: func(context.Context, time.Duration) { tab.SetFaults(table.Faults{Outage: true}) },
		})
		if got := retrier.Transact(t.Context(), "1", create("a")); got.Kind != core.TransactUnknown {
			t.Errorf("lost reply followed by an outage: %v", got.Kind)
		}
	})
}

// Guards against a circuit breaker that lets calls wait for a service that is down, and
// against one that stays open after the service has recovered.
func TestCircuitBreakerOpensAndProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New()
		tab.SetFaults(table.Faults{Outage: true})
		breaker := client.NewCircuitBreaker(client.CircuitBreakerOptions{Table: tab, Clock: core.NewProcessClock()})
		for n := range 100 {
			breaker.Transact(t.Context(), core.AttemptID(strconv.Itoa(n)), create("a"))
		}
		if c := tab.Counts(); c.Calls != 5 {
			t.Errorf("%d of 100 calls reached the unavailable service", c.Calls)
		}
		time.Sleep(2 * time.Second)
		breaker.Read(t.Context(), "a")
		breaker.Read(t.Context(), "a")
		if c := tab.Counts(); c.Calls != 6 {
			t.Errorf("%d probes after the open interval", c.Calls-5)
		}
		tab.SetFaults(table.Faults{})
		time.Sleep(2 * time.Second)
		if _, err := breaker.Read(t.Context(), "a"); err != nil {
			t.Errorf("after the service recovered: %v", err)
		}
		if r := breaker.Transact(t.Context(), "x", create("a")); r.Kind != core.TransactCommitted {
			t.Errorf("after the service recovered: %+v", r)
		}
	})
}

// Guards against a fleet that exceeds the platform's rate limits when every instance calls
// as often as its budget allows.
func TestRateLimitsBoundFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, seconds = 680, 600
		tab := table.New()
		service := client.NewClientSet(client.ClientSetOptions{
			Client: tab, Clock: core.NewProcessClock(), NewAttemptID: attemptIDs(), Instances: instances, Shards: 128,
		})
		end := time.Now().Add(seconds * time.Second)
		var callers sync.WaitGroup
		count := func(total *float64, share float64, call func(n int) bool) {
			callers.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					if call(n) {
						*total += share / seconds
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
		var writes, reads [2]float64
		for i, view := range []core.Table{service.Leases, service.Shared} {
			writers := []float64{128, instances}[i] // at most one lease holder per shard
			count(&writes[i], writers, func(n int) bool {
				attempt := core.AttemptID(fmt.Sprintf("%d/%d", i, n))
				return view.Transact(t.Context(), attempt, nil).Kind == core.TransactCommitted
			})
			count(&reads[i], instances, func(int) bool {
				_, err := view.Read(t.Context(), "a")
				return err == nil
			})
		}
		callers.Wait()
		t.Logf("fleet of %d over %d s: writes/s %.0f for leases and %.0f others, reads/s %.0f and %.0f",
			instances, seconds, writes[0], writes[1], reads[0], reads[1])
		if writes[0]+writes[1] > 200 || reads[0]+reads[1] > 1000 {
			t.Error("more than 200 writes/s or 1,000 reads/s")
		}
	})
}
