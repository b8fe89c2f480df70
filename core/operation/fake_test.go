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

// scripted is a table of one row set whose next transactions follow a script: "ok",
// "refused" (before it runs), "lost" (before it runs, unknown to the caller) and
// "replylost" (after it took effect). An empty script means "ok".
type scripted struct {
	rows   map[string]core.Row
	done   map[core.AttemptID]uint64
	script []string
	serial uint64
	mu     sync.Mutex
}

func (s *scripted) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []core.Row{s.rows[keys[0]]}, nil
}

func (s *scripted) Scan(context.Context, string, string, int) ([]core.Row, error) { return nil, nil }

func (s *scripted) Transact(_ context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
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

// objects is an object store that may be down.
type objects struct {
	down   bool
	values map[string][]byte
}

func (o *objects) Put(_ context.Context, key string, value []byte) error {
	if o.down {
		return core.ErrUnavailable
	}
	o.values[key] = value
	return nil
}

func (o *objects) Get(_ context.Context, key string) ([]byte, error) {
	if value, found := o.values[key]; found && !o.down {
		return value, nil
	}
	return nil, errors.Wrap(core.ErrUnavailable, key)
}

func (o *objects) List(context.Context, string, int) ([]string, error) { return nil, nil }

type discard struct{}

func (discard) Record(core.Event) {}

// bench is an executor with its table, object store and a target that counts runs.
type bench struct {
	*operation.Executor
	table   *scripted
	objects *objects
	runs    atomic.Int32
}

var attempts atomic.Int64

func newBench(script ...string) *bench {
	b := &bench{
		table:   &scripted{rows: map[string]core.Row{}, done: map[core.AttemptID]uint64{}, script: script},
		objects: &objects{values: map[string][]byte{}},
	}
	b.Executor = b.executor("a")
	return b
}

// executor returns another instance's executor on the same stores.
func (b *bench) executor(self core.InstanceID) *operation.Executor {
	opts := operation.DefaultOptions()
	opts.Self, opts.Table, opts.Objects = self, b.table, b.objects
	opts.Clock, opts.Recorder = core.NewDeadlineClock(), discard{}
	opts.NewAttemptID = func() core.AttemptID { return core.AttemptID(strconv.FormatInt(attempts.Add(1), 10)) }
	return operation.New(opts)
}

var grant = operation.Call{Organisation: "o/1", Key: "k/1", Digest: "d", Target: "t"}

// execute runs grant on the executor; the target answers with the given outcomes.
func (b *bench) execute(t *testing.T, e *operation.Executor, body string, outcomes ...core.OutcomeKind) operation.Result {
	t.Helper()
	return e.Execute(t.Context(), grant, b.target(body, outcomes...))
}

func (b *bench) target(body string, outcomes ...core.OutcomeKind) func(context.Context) core.ServiceResult {
	return func(context.Context) core.ServiceResult {
		outcome := outcomes[0]
		outcomes = outcomes[1:]
		if outcome != core.OutcomeNotRun {
			b.runs.Add(1)
		}
		return core.ServiceResult{Outcome: outcome, Answer: core.ServiceAnswer{Status: 200, Body: []byte(body)}}
	}
}

func (b *bench) lookup(t *testing.T) operation.Result {
	return b.executor("z").Lookup(t.Context(), grant.Organisation, grant.Key)
}
