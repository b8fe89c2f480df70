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

// rows is a table service that can be cut off from single instances. The stand-in
// module imports this one, so its table is out of reach here.
type rows struct {
	mu      sync.Mutex
	rows    map[string]core.Row
	version uint64
	cuts    map[string]bool
	latency time.Duration
}

func newRows() *rows { return &rows{rows: map[string]core.Row{}, cuts: map[string]bool{}} }

func (r *rows) cut(address string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[address] = cut
}

func (r *rows) slow(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latency = d
}

// view is the table as one instance sees it.
type view struct {
	*rows
	address string
}

var _ core.Table = view{}

// begin waits for the latency, locks and reports whether the table can be reached.
func (v view) begin() bool {
	v.mu.Lock()
	latency := v.latency
	v.mu.Unlock()
	time.Sleep(latency)
	v.mu.Lock()
	return !v.cuts[v.address]
}

func (v view) Read(_ context.Context, keys ...string) ([]core.Row, error) {
	reachable := v.begin()
	defer v.mu.Unlock()
	if !reachable {
		return nil, core.ErrUnavailable
	}
	list := make([]core.Row, len(keys))
	for i, key := range keys {
		list[i] = v.rows.rows[key]
	}
	return list, nil
}

func (v view) Scan(_ context.Context, prefix, after string, limit int) ([]core.Row, error) {
	reachable := v.begin()
	defer v.mu.Unlock()
	if !reachable {
		return nil, core.ErrUnavailable
	}
	var list []core.Row
	for _, key := range slices.Sorted(maps.Keys(v.rows.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(list) < limit {
			list = append(list, v.rows.rows[key])
		}
	}
	return list, nil
}

func (v view) Transact(_ context.Context, _ core.AttemptID, writes []core.Write) core.TransactResult {
	reachable := v.begin()
	defer v.mu.Unlock()
	if !reachable {
		return core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
	}
	for _, w := range writes {
		if row := v.rows.rows[w.Key]; w.Expected != core.AnyVersion && row.Version != w.Expected {
			return core.TransactResult{Kind: core.TransactConflict, Conflicts: []core.Row{row}}
		}
	}
	for _, w := range writes {
		v.version++
		v.rows.rows[w.Key] = core.Row{Key: w.Key, Version: v.version, Value: w.Value}
	}
	return core.TransactResult{Kind: core.TransactCommitted}
}

func storeOf(r *rows, address string) *configuration.Store {
	var mu sync.Mutex
	n := 0
	return configuration.NewStore(configuration.Options{Table: view{r, address}, Attempts: func() core.AttemptID {
		mu.Lock()
		defer mu.Unlock()
		n++
		return core.AttemptID(fmt.Sprintf("%s-%d", address, n))
	}})
}

func sample() core.Configuration {
	return core.Configuration{
		PresetInForce: "Ordinary",
		Presets:       map[string]core.Preset{"Ordinary": {Name: "Ordinary", Policy: "Full"}, "Peak": {Name: "Peak", Policy: "Full"}},
		Policies:      map[string]core.PolicyDocument{"Full": {Name: "Full", Type: "Full"}},
	}
}
