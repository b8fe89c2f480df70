package check

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/operation"
	client "gorseline/io/table"
	"gorseline/standin/table"
)

type discard struct{}

func (discard) Record(core.Event) {}

func attemptIDs() func() core.AttemptID {
	var serial atomic.Int64
	return func() core.AttemptID { return core.AttemptID(strconv.FormatInt(serial.Add(1), 10)) }
}

// Guards against lease traffic above the fleet's share of the table service at the design
// size of 680 instances and 128 shards.
func TestLeaseTrafficAtDesignSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, shards = 680, 128
		tab, attempts := table.New(), attemptIDs()
		members := make([]core.InstanceID, instances)
		for n := range members {
			members[n] = core.InstanceID(fmt.Sprintf("instance-%03d", n))
		}
		ctx, cancel := context.WithCancel(t.Context())
		for n, id := range members {
			clients := client.NewClientSet(client.ClientSetOptions{
				Client: tab, Clock: core.NewProcessClock(), NewAttemptID: attempts, Instances: instances, Shards: shards,
			})
			leaseManager := authority.NewLeaseManager(authority.Options{
				Self: id, Shards: shards, Table: clients.Leases, Clock: core.NewDeadlineClock(), Recorder: discard{},
				NewAttemptID: attempts, Members: func() []core.InstanceID { return members }, Timing: authority.DefaultTiming(),
			})
			go func() {
				time.Sleep(time.Duration(n) * time.Second / instances)
				leaseManager.Run(ctx)
			}()
		}
		time.Sleep(10 * time.Second)
		before := tab.Counts()
		time.Sleep(60 * time.Second)
		after := tab.Counts()
		writes, rows := float64(after.Transactions-before.Transactions)/60, float64(after.RowsWritten-before.RowsWritten)/60
		calls, read := float64(after.Calls-before.Calls)/60-writes, float64(after.RowsRead-before.RowsRead)/60
		t.Logf("%d instances, %d shards: %.1f writes/s with %.1f rows/s, %.1f reads/s with %.1f rows/s",
			instances, shards, writes, rows, calls, read)
		if rows < 25 || rows > 200 || read > 1000 {
			t.Errorf("rows written %.1f/s, rows read %.1f/s", rows, read)
		}
		cancel()
	})
}

// newExecutor returns an executor that writes its claims through the clients.
func newExecutor(clients *client.ClientSet, attempts func() core.AttemptID) *operation.Executor {
	opts := operation.DefaultOptions()
	opts.Self, opts.Table, opts.Clock, opts.Recorder = "a", clients.Claims, core.NewDeadlineClock(), discard{}
	opts.NewAttemptID = attempts
	return operation.New(opts)
}

func answer(context.Context) core.ServiceResult {
	return core.ServiceResult{Outcome: core.OutcomeDone, Answer: core.ServiceAnswer{Status: 200, Body: []byte("ok")}}
}

// Guards against claims that need one transaction each when many calls arrive at once, and
// against a transaction budget that refuses claims instead of batching more of them.
func TestClaimsPerTransaction(t *testing.T) {
	for _, c := range []struct{ instances, callers int }{{9, 10}, {9, 100}, {9, 500}, {680, 100}} {
		synctest.Test(t, func(t *testing.T) {
			tab, attempts := table.New(), attemptIDs()
			tab.SetFaults(table.Faults{Latency: 2 * time.Millisecond, ReplyLatency: 2 * time.Millisecond})
			clients := client.NewClientSet(client.ClientSetOptions{
				Client: tab, Clock: core.NewProcessClock(), NewAttemptID: attempts, Instances: c.instances, Shards: 4,
			})
			ctx, cancel := context.WithCancel(t.Context())
			go clients.Claims.Run(ctx)
			e := newExecutor(clients, attempts)
			var ended, refused atomic.Int64
			var callers sync.WaitGroup
			start := time.Now()
			for n := range c.callers {
				callers.Go(func() {
					for call := 0; time.Since(start) < 20*time.Second; call++ {
						key := core.OperationKey(fmt.Sprintf("%d/%d", n, call))
						switch r := e.Execute(ctx, operation.Call{Organisation: "o", Key: key}, answer); r.Outcome {
						case core.OutcomeDone:
							ended.Add(1)
						case core.OutcomeNotRun:
							refused.Add(1)
							time.Sleep(r.RetryAfter)
						default:
							t.Errorf("operation ended as %+v instead of done or not run", r)
							time.Sleep(time.Second)
						}
					}
				})
			}
			callers.Wait()
			seconds := time.Since(start).Seconds()
			counts := tab.Counts()
			rows := float64(counts.RowsWritten) / float64(counts.Transactions)
			t.Logf("%d instances, %d callers in one: %.0f operations/s, %.1f transactions/s, %.1f rows per transaction, %d refused",
				c.instances, c.callers, float64(ended.Load())/seconds, float64(counts.Transactions)/seconds, rows, refused.Load())
			if least := min(float64(c.callers)/4, 30); rows < least {
				t.Errorf("%.1f rows per transaction", rows)
			}
			cancel()
		})
	}
}

// BenchmarkClaims measures operations through the HTTP client and the stand-in on loopback,
// without the transaction budget of the fleet.
func BenchmarkClaims(b *testing.B) {
	tab, attempts := table.New(), attemptIDs()
	server := httptest.NewServer(tab.Handler())
	defer server.Close()
	batcher := client.NewBatcher(client.BatcherOptions{
		Table: client.NewClient(client.ClientOptions{URL: server.URL}), NewAttemptID: attempts,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go batcher.Run(ctx)
	e := newExecutor(&client.ClientSet{Claims: batcher}, attempts)
	var serial atomic.Int64
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := core.OperationKey(strconv.FormatInt(serial.Add(1), 10))
			if r := e.Execute(ctx, operation.Call{Organisation: "o", Key: key}, answer); r.Outcome != core.OutcomeDone {
				b.Errorf("%+v", r)
			}
		}
	})
	counts := tab.Counts()
	b.ReportMetric(float64(counts.RowsWritten)/float64(counts.Transactions), "rows/transaction")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "operations/s")
}
