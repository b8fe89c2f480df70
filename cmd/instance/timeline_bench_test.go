package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"

	"gorseline/core"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
	"gorseline/standin/object"
)

// recordCompletion records the events of one completion.
func recordCompletion(r core.Recorder) {
	var routed, finished timeline.Inputs
	routed.Text("Kind", "Reconciliation").Text("Policy", "full").Int("Revision", 42).
		Duration("ExpectedTotal", 1975*time.Millisecond).Duration("ExpectedQueue", 12*time.Millisecond).Int("CachedTokens", 512)
	r.Record(core.Event{Kind: dispatch.EventRouted, Request: "96e7edcf-c32e-4cda-b697-0ef0e316a73e", Target: "ledger-llm-8", Reason: core.ReasonLeastDelay, Detail: routed.String()})
	r.Record(core.Event{Kind: "StreamEnded", Request: "96e7edcf-c32e-4cda-b697-0ef0e316a73e", Target: "ledger-llm-8", Reason: "StreamComplete"})
	finished.Text("Kind", "Reconciliation").Text("Policy", "full").Int("Revision", 42).Text("Outcome", "Done").Bool("InTime", true).
		Float("Weight", 8).Duration("Took", 1900*time.Millisecond).Int("PromptTokens", 800).Int("OutputTokens", 600).Duration("FirstToken", 300*time.Millisecond)
	r.Record(core.Event{Kind: dispatch.EventFinished, Request: "96e7edcf-c32e-4cda-b697-0ef0e316a73e", Target: "ledger-llm-8", Reason: "StreamComplete", Detail: finished.String()})
}

// BenchmarkTimelinePerRequest measures the total cost of the timeline for one completion: its
// three events and their share of encoding and storing a chunk.
func BenchmarkTimelinePerRequest(b *testing.B) {
	t := timeline.New("entry-1", timeline.NewClock(timeline.WallTime), 8192)
	recorder := newRecorder(t, newInstruments(metrics.NewRegistry()))
	f := &eventFlusher{instance: "entry-1", timeline: t, objects: discardingStore{}, log: &log.Logger{Handler: discard.New()}}
	b.ReportAllocs()
	for n := 1; b.Loop(); n++ {
		recordCompletion(recorder)
		if n%(chunkEvents/3) == 0 {
			f.flush(b.Context())
		}
	}
}

// discardingStore is an object store that discards what is written.
type discardingStore struct{ *object.Store }

func (discardingStore) Put(context.Context, string, []byte) error { return nil }

// BenchmarkEncodeEvent measures the encoding of one event of a chunk.
func BenchmarkEncodeEvent(b *testing.B) {
	t := timeline.New("entry-1", timeline.NewClock(timeline.WallTime), 16)
	recordCompletion(t)
	events := t.DrainPending(3)
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for n := 0; b.Loop(); n++ {
		body.Reset()
		if err := encoder.Encode(events[n%3]); err != nil {
			b.Fatal(err)
		}
	}
}
