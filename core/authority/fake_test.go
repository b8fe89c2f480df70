package authority_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/authority"
)

// memory is an in-memory table. withholdNext delays the next write of an intent: its
// caller gets an unknown outcome, and the write runs when runWithheld is called.
type memory struct {
	withholdNext atomic.Bool
	runWithheld  func()
	mu           sync.Mutex
	rows         map[string]core.Row
	version      uint64
	transactions int
	orderReads   int
	rowsWritten  int
}

func (m *memory) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := make([]core.Row, len(keys))
	if strings.HasPrefix(keys[0], "Order/") {
		m.orderReads++
	}
	for i, key := range keys {
		rows[i] = m.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (m *memory) Scan(context.Context, string, string, int) ([]core.Row, error) { return nil, nil }

func (m *memory) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if writes[0].CheckOnly && m.withholdNext.Swap(false) {
		m.runWithheld = func() { m.Transact(ctx, attempt, writes) }
		return core.TransactResult{Kind: core.TransactUnknown}
	}
	var conflicts []core.Row
	for _, w := range writes {
		if row := m.rows[w.Key]; row.Version != w.Expected {
			row.Key = w.Key
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		return core.TransactResult{Kind: core.TransactConflict, Conflicts: conflicts}
	}
	m.transactions++
	versions := make([]uint64, len(writes))
	for i, w := range writes {
		if versions[i] = w.Expected; w.CheckOnly {
			continue
		}
		m.version++
		m.rowsWritten++
		versions[i] = m.version
		m.rows[w.Key] = core.Row{Key: w.Key, Version: m.version, Value: w.Value}
	}
	return core.TransactResult{Kind: core.TransactCommitted, Versions: versions}
}

func (m *memory) counts() (transactions, rows int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.transactions, m.rowsWritten
}

func (m *memory) reads() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orderReads
}

func (m *memory) intent(t *testing.T, target core.TargetID) authority.Intent {
	rows, _ := m.Read(t.Context(), authority.OrderKey(target))
	intent, err := authority.DecodeIntent(rows[0])
	if err != nil {
		t.Fatal(err)
	}
	return intent
}

// journal counts events by kind.
type journal struct {
	mu    sync.Mutex
	kinds map[core.EventKind]int
}

func (j *journal) Record(e core.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.kinds[e.Kind]++
}

func (j *journal) count(kind core.EventKind) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.kinds[kind]
}

// orderFunc implements core.Orderer by a function that ignores the address.
type orderFunc func(context.Context, core.Order) core.OrderResult

func (f orderFunc) Order(ctx context.Context, _ string, order core.Order) core.OrderResult {
	return f(ctx, order)
}

// fleet is a set of instances that share a table.
type fleet struct {
	table   *memory
	journal *journal
	members atomic.Pointer[[]core.InstanceID]
	serial  atomic.Int64
	shards  int
}

func newFleet(shards int, members ...core.InstanceID) *fleet {
	f := &fleet{
		table: &memory{rows: map[string]core.Row{}}, journal: &journal{kinds: map[core.EventKind]int{}}, shards: shards,
	}
	f.members.Store(&members)
	return f
}

// instance is one instance of a fleet. stop kills it: its goroutine ends without releasing
// the leases.
type instance struct {
	authority.Options
	leases     *authority.LeaseManager
	reconciler *authority.Reconciler
	stop       context.CancelFunc
}

func (f *fleet) instance(t *testing.T, id core.InstanceID, orderer core.Orderer) *instance {
	i := &instance{Options: authority.Options{
		Self: id, Shards: f.shards, Table: f.table, Clock: core.NewDeadlineClock(), Recorder: f.journal,
		NewAttemptID: func() core.AttemptID { return core.AttemptID(strconv.FormatInt(f.serial.Add(1), 10)) },
		Members:      func() []core.InstanceID { return *f.members.Load() },
		Orderer:      orderer, Timing: authority.DefaultTiming(),
	}}
	i.leases = authority.NewLeaseManager(i.Options)
	i.reconciler = authority.NewReconciler(i.Options, i.leases)
	ctx, cancel := context.WithCancel(t.Context())
	i.stop = cancel
	go func() {
		for ctx.Err() == nil {
			i.leases.Step(ctx)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
		}
	}()
	return i
}

// holds returns the number of unexpired leases of the instance.
func (i *instance) holds() int { return len(i.leases.Leases()) }
