package operation_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/operation"
)

// scriptedTable is an in-memory table whose next transactions follow a script: "ok";
// "refused", which is not applied and reports that the table is unavailable; "lost", which
// is not applied and reports an unknown outcome; and "replylost", which is applied and
// reports an unknown outcome. After the script all transactions are "ok".
type scriptedTable struct {
	rows   map[string]core.Row
	done   map[core.AttemptID]uint64
	script []string
	serial uint64
	mu     sync.Mutex
}

func (s *scriptedTable) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []core.Row{s.rows[keys[0]]}, nil
}

func (s *scriptedTable) Scan(context.Context, string, string, int) ([]core.Row, error) {
	return nil, nil
}

func (s *scriptedTable) Transact(_ context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := "ok"
	if len(s.script) > 0 {
		step, s.script = s.script[0], s.script[1:]
	}
	if step == "refused" {
		return core.TransactResult{Kind: core.TransactUnavailable}
	}
	if step == "lost" {
		return core.TransactResult{Kind: core.TransactUnknown}
	}
	w := writes[0]
	version, repeated := s.done[attempt]
	if row := s.rows[w.Key]; !repeated && row.Version != w.Expected {
		return core.TransactResult{Kind: core.TransactConflict, Conflicts: []core.Row{row}}
	}
	if !repeated {
		s.serial++
		version = s.serial
		s.done[attempt] = version
		s.rows[w.Key] = core.Row{Key: w.Key, Version: version, Value: w.Value}
	}
	if step == "replylost" {
		return core.TransactResult{Kind: core.TransactUnknown}
	}
	return core.TransactResult{Kind: core.TransactCommitted, Versions: []uint64{version}}
}

// objectStore is an in-memory object store that fails while down is set.
type objectStore struct {
	down   bool
	values map[string][]byte
}

func (o *objectStore) Put(_ context.Context, key string, value []byte) error {
	if o.down {
		return core.ErrUnavailable
	}
	o.values[key] = value
	return nil
}

func (o *objectStore) Get(_ context.Context, key string) ([]byte, error) {
	if value, found := o.values[key]; found && !o.down {
		return value, nil
	}
	return nil, errors.Wrap(core.ErrUnavailable, key)
}

func (o *objectStore) List(context.Context, string, int) ([]string, error) { return nil, nil }

type discard struct{}

func (discard) Record(core.Event) {}

// fixture is an executor with its table, its object store and a target that counts the
// calls that it runs.
type fixture struct {
	*operation.Executor
	table   *scriptedTable
	objects *objectStore
	runs    atomic.Int32
}

var attempts atomic.Int64

func newFixture(script ...string) *fixture {
	f := &fixture{
		table:   &scriptedTable{rows: map[string]core.Row{}, done: map[core.AttemptID]uint64{}, script: script},
		objects: &objectStore{values: map[string][]byte{}},
	}
	f.Executor = f.executor("a")
	return f
}

// executor returns the executor of another instance on the same stores.
func (f *fixture) executor(self core.InstanceID) *operation.Executor {
	opts := operation.DefaultOptions()
	opts.Self, opts.Table, opts.Objects = self, f.table, f.objects
	opts.Clock, opts.Recorder = core.NewDeadlineClock(), discard{}
	opts.NewAttemptID = func() core.AttemptID { return core.AttemptID(strconv.FormatInt(attempts.Add(1), 10)) }
	return operation.New(opts)
}

var testCall = operation.Call{Organisation: "o/1", Key: "k/1", Digest: "d", Target: "t"}

// execute runs testCall on e; the target returns the given outcomes in order.
func (f *fixture) execute(t *testing.T, e *operation.Executor, body string, outcomes ...core.OutcomeKind) operation.Result {
	t.Helper()
	return e.Execute(t.Context(), testCall, f.target(body, outcomes...))
}

func (f *fixture) target(body string, outcomes ...core.OutcomeKind) func(context.Context) core.ServiceResult {
	return func(context.Context) core.ServiceResult {
		outcome := outcomes[0]
		outcomes = outcomes[1:]
		if outcome != core.OutcomeNotRun {
			f.runs.Add(1)
		}
		return core.ServiceResult{Outcome: outcome, Answer: core.ServiceAnswer{Status: 200, Body: []byte(body)}}
	}
}

func (f *fixture) lookup(t *testing.T) operation.Result {
	return f.executor("z").Lookup(t.Context(), testCall.Organisation, testCall.Key)
}
