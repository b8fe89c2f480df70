package peer_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
)

// fakeTable is an in-memory table service that can be partitioned from single instances. The
// table of the stand-in module would cause an import cycle.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]core.Row
	version     uint64
	partitioned map[string]bool
	latency     time.Duration
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]core.Row{}, partitioned: map[string]bool{}}
}

func (t *fakeTable) setPartitioned(address string, partitioned bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partitioned[address] = partitioned
}

func (t *fakeTable) setLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latency = d
}

// tableClient accesses the table from the address of one instance.
type tableClient struct {
	*fakeTable
	address string
}

var _ core.Table = tableClient{}

// begin waits for the latency, locks the table and reports whether it can be reached.
func (c tableClient) begin() bool {
	c.mu.Lock()
	latency := c.latency
	c.mu.Unlock()
	time.Sleep(latency)
	c.mu.Lock()
	return !c.partitioned[c.address]
}

func (c tableClient) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	reachable := c.begin()
	defer c.mu.Unlock()
	if !reachable {
		return nil, core.ErrUnavailable
	}
	list := make([]core.Row, len(keys))
	for i, key := range keys {
		list[i] = c.rows[key]
	}
	return list, nil
}

func (c tableClient) Scan(_ context.Context, prefix, after string, limit int) ([]core.Row, error) {
	reachable := c.begin()
	defer c.mu.Unlock()
	if !reachable {
		return nil, core.ErrUnavailable
	}
	var list []core.Row
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(list) < limit {
			list = append(list, c.rows[key])
		}
	}
	return list, nil
}

func (c tableClient) Transact(_ context.Context, _ core.AttemptID, writes []core.Write) core.TransactResult {
	reachable := c.begin()
	defer c.mu.Unlock()
	if !reachable {
		return core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
	}
	for _, w := range writes {
		if row := c.rows[w.Key]; w.Expected != core.AnyVersion && row.Version != w.Expected {
			return core.TransactResult{Kind: core.TransactConflict, Conflicts: []core.Row{row}}
		}
	}
	for _, w := range writes {
		c.version++
		c.rows[w.Key] = core.Row{Key: w.Key, Version: c.version, Value: w.Value}
	}
	return core.TransactResult{Kind: core.TransactCommitted}
}

// newStore returns a store that accesses the table from an address.
func newStore(t *fakeTable, address string) *configuration.Store {
	var mu sync.Mutex
	n := 0
	return configuration.NewStore(configuration.Options{Table: tableClient{t, address}, NewAttemptID: func() core.AttemptID {
		mu.Lock()
		defer mu.Unlock()
		n++
		return core.AttemptID(fmt.Sprintf("%s-%d", address, n))
	}})
}

// initialConfiguration returns a configuration with two presets and one policy.
func initialConfiguration() core.Configuration {
	return core.Configuration{
		PresetInForce: "Ordinary",
		Presets:       map[string]core.Preset{"Ordinary": {Name: "Ordinary", Policy: "Full"}, "Peak": {Name: "Peak", Policy: "Full"}},
		Policies:      map[string]core.PolicyDocument{"Full": {Name: "Full", Type: "Full"}},
	}
}
