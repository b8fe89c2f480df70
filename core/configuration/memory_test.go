package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"gorseline/core"
	"gorseline/core/configuration"
)

var errStore = errors.New("store fault")

// memoryTable is an in-memory core.Table with fault injection.
type memoryTable struct {
	mu       sync.Mutex
	rows     map[string]core.Row
	attempts map[core.AttemptID]core.TransactResult
	version  uint64
	// loseReplies is the number of following transactions whose replies are lost; down
	// makes every call fail.
	loseReplies int
	down        bool
	// beforeTransact runs once, before the next transaction and without the lock.
	beforeTransact func()
}

var _ core.Table = (*memoryTable)(nil)

func newTable() *memoryTable {
	return &memoryTable{rows: make(map[string]core.Row), attempts: make(map[core.AttemptID]core.TransactResult)}
}

func (t *memoryTable) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, errStore
	}
	rows := make([]core.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (t *memoryTable) Scan(_ context.Context, prefix, after string, limit int) ([]core.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, errStore
	}
	var rows []core.Row
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

func (t *memoryTable) Transact(_ context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	if hook := t.beforeTransact; hook != nil {
		t.beforeTransact = nil
		hook()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return core.TransactResult{Kind: core.TransactUnavailable, Err: errStore}
	}
	result, done := t.attempts[attempt]
	if !done {
		result = t.execute(writes)
		if result.Kind == core.TransactCommitted {
			t.attempts[attempt] = result
		}
	}
	if t.loseReplies > 0 {
		t.loseReplies--
		return core.TransactResult{Err: errStore}
	}
	return result
}

func (t *memoryTable) execute(writes []core.Write) core.TransactResult {
	for _, w := range writes {
		if w.Expected != core.AnyVersion && t.rows[w.Key].Version != w.Expected {
			return core.TransactResult{Kind: core.TransactConflict, Conflicts: []core.Row{t.rows[w.Key]}}
		}
	}
	for _, w := range writes {
		t.version++
		if w.Delete {
			delete(t.rows, w.Key)
		} else if !w.CheckOnly {
			t.rows[w.Key] = core.Row{Key: w.Key, Version: t.version, Value: w.Value}
		}
	}
	return core.TransactResult{Kind: core.TransactCommitted}
}

func sample() core.Configuration {
	return core.Configuration{
		PresetInForce: "Ordinary",
		Presets: map[string]core.Preset{
			"Ordinary": {Name: "Ordinary", Policy: "Full", UrgentShare: 0.1},
			"Peak":     {Name: "Peak", Policy: "Full", UrgentShare: 0.3},
		},
		Policies: map[string]core.PolicyDocument{"Full": {Name: "Full", Type: "Full"}},
		Kinds:    map[core.KindName]core.Kind{"ClerkQuery": {Name: "ClerkQuery", Weight: 1, Deadline: 1}},
		Targets: []core.Target{
			{ID: "e1", Service: "llm", Address: "127.0.0.1:1", Models: []core.Model{"m"}, Role: core.RoleMixed},
			{ID: "e2", Service: "llm", Address: "127.0.0.1:2", Models: []core.Model{"m"}, Role: core.RoleMixed},
		},
	}
}

func newStore(t core.Table) *configuration.Store {
	var mu sync.Mutex
	n := 0
	return configuration.NewStore(configuration.Options{Table: t, NewAttemptID: func() core.AttemptID {
		mu.Lock()
		defer mu.Unlock()
		n++
		return core.AttemptID(fmt.Sprintf("%p-%d", &n, n))
	}})
}

func change(o configuration.Operation) configuration.Change {
	return configuration.Change{Operation: o, Operator: "ada", Note: "test"}
}
