package table_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	client "gorseline/io/table"
	"gorseline/standin/table"
)

func create(key string) []core.Write {
	return []core.Write{{Key: key, Value: []byte(key)}}
}

// Guards against a table that applies a repeated attempt twice, reports a wrong outcome for
// a lost reply, or reuses a version for a re-created row, in memory and through the HTTP
// client.
func TestTableSemantics(t *testing.T) {
	memory := table.New()
	served := table.New()
	server := httptest.NewServer(served.Handler())
	defer server.Close()
	for name, c := range map[string]struct {
		standin *table.Table
		table   core.Table
	}{
		"memory": {memory, memory},
		"http":   {served, client.NewClient(client.ClientOptions{URL: server.URL})},
	} {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			first := c.table.Transact(ctx, "1", create("a/1"))
			if first.Kind != core.TransactCommitted {
				t.Fatalf("create: %+v", first)
			}
			if again := c.table.Transact(ctx, "1", create("a/1")); again.Kind != core.TransactCommitted || again.Versions[0] != first.Versions[0] {
				t.Errorf("repeated attempt: %+v", again)
			}
			if r := c.table.Transact(ctx, "2", create("a/1")); r.Kind != core.TransactConflict || r.Conflicts[0].Version != first.Versions[0] {
				t.Errorf("second create: %+v", r)
			}
			c.table.Transact(ctx, "3", []core.Write{{Key: "a/1", Expected: first.Versions[0], Delete: true}})
			if r := c.table.Transact(ctx, "4", create("a/1")); r.Kind != core.TransactCommitted || r.Versions[0] <= first.Versions[0] {
				t.Errorf("version of the re-created row did not increase: %+v after %d", r, first.Versions[0])
			}
			c.standin.SetFaults(table.Faults{LoseReplies: 1})
			if r := c.table.Transact(ctx, "5", create("a/2")); r.Kind != core.TransactUnknown {
				t.Errorf("lost reply: %+v", r)
			}
			if r := c.table.Transact(ctx, "5", create("a/2")); r.Kind != core.TransactCommitted {
				t.Errorf("repeat after a lost reply: %+v", r)
			}
			c.standin.SetFaults(table.Faults{RefuseWrites: 1})
			if r := c.table.Transact(ctx, "6", create("a/3")); r.Kind != core.TransactUnavailable {
				t.Errorf("refused: %+v", r)
			}
			rows, err := c.table.Scan(ctx, "a/", "a/1", 10)
			if err != nil || len(rows) != 1 || rows[0].Key != "a/2" {
				t.Errorf("scan: %v, %v", rows, err)
			}
			rows, err = c.table.Read(ctx, "a/2", "a/3")
			if err != nil || string(rows[0].Value) != "a/2" || rows[1].Version != 0 {
				t.Errorf("read: %v, %v", rows, err)
			}
			c.standin.SetFaults(table.Faults{Outage: true})
			if _, err := c.table.Read(ctx, "a/2"); err == nil {
				t.Error("read during an outage succeeded")
			}
		})
	}
}

// Guards against a client that reports an unknown outcome for a transaction that can't have
// run. Only a call that got no connection certainly didn't run and is unavailable.
func TestClientDistinguishesUnavailableFromUnknown(t *testing.T) {
	server := httptest.NewServer(table.New().Handler())
	c := client.NewClient(client.ClientOptions{URL: server.URL})
	server.Close()
	if r := c.Transact(context.Background(), "1", create("a")); r.Kind != core.TransactUnavailable {
		t.Errorf("closed port: %+v", r)
	}
}

// Guards against latency that passes in real time under testing/synctest, and against a
// call without effect because its caller stopped waiting for the reply.
func TestLatencyInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := table.New()
		tab.SetFaults(table.Faults{ReplyLatency: time.Minute})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if r := tab.Transact(ctx, "1", create("a")); r.Kind != core.TransactUnknown {
			t.Errorf("timed out transaction: %+v", r)
		}
		tab.SetFaults(table.Faults{})
		if r := tab.Transact(context.Background(), "1", create("a")); r.Kind != core.TransactCommitted {
			t.Errorf("repeat: %+v", r)
		}
		if c := tab.Counts(); c.RowsWritten != 1 {
			t.Errorf("rows written: %d", c.RowsWritten)
		}
	})
}
