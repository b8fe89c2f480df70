package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/standin/object"
)

// countingStore counts the calls of an object store.
type countingStore struct {
	*object.Store
	listCalls, getCalls int
}

func (s *countingStore) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	s.listCalls++
	return s.Store.List(ctx, prefix, limit)
}

func (s *countingStore) Get(ctx context.Context, key string) ([]byte, error) {
	s.getCalls++
	return s.Store.Get(ctx, key)
}

// newFilledStore returns a store with the chunks of 60 instances over a quarter of an hour,
// and all their events.
func newFilledStore(t *testing.T) (*countingStore, []core.Event) {
	t.Helper()
	store := &countingStore{Store: object.New()}
	rng := rand.New(rand.NewPCG(3, 0))
	var all []core.Event
	start := 1_700_000_000 * time.Second
	for round := range 90 {
		for i := range 60 {
			var chunk []core.Event
			at := start + time.Duration(round)*flushInterval + time.Duration(rng.Int64N(int64(time.Second)))
			for range 3 {
				at += time.Duration(rng.Int64N(int64(3 * time.Second)))
				chunk = append(chunk, core.Event{
					At: core.Timestamp{Wall: at}, Instance: core.InstanceID(fmt.Sprintf("entry-%d", i)),
					Kind: "Route", Target: core.TargetID(fmt.Sprintf("t%d", rng.IntN(40))),
				})
			}
			var body bytes.Buffer
			for _, e := range chunk {
				if err := json.NewEncoder(&body).Encode(e); err != nil {
					t.Fatal(err)
				}
			}
			if err := store.Put(t.Context(), chunkKey(chunk[0].At, string(chunk[0].Instance)), body.Bytes()); err != nil {
				t.Fatal(err)
			}
			all = append(all, chunk...)
		}
	}
	return store, all
}

// Guards against a query of a large store that reads the oldest chunks instead of the
// newest, misses events at the edges of its time range, or reads the whole store. The result
// is compared with a filter over all events.
func TestLatestEventsOfLargeStore(t *testing.T) {
	store, all := newFilledStore(t)
	sorted := timeline.Merge(all)
	last := sorted[len(sorted)-1].At.Wall
	for _, c := range []struct {
		name              string
		filter            timeline.Filter
		limit             int
		maxLists, maxGets int
	}{
		{"latest", timeline.Filter{}, 200, 60, 400},
		{"of an instance", timeline.Filter{Instance: "entry-7"}, 60, 90, 40},
		{"of a target", timeline.Filter{Target: "t3"}, 20, 60, maxChunks},
		{"of a time range", timeline.Filter{From: last - 200*time.Second, To: last - 170*time.Second}, 10000, 60, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			store.listCalls, store.getCalls = 0, 0
			reader := chunkReader{objects: store, filter: c.filter, limit: c.limit, latestKeyTime: last + maxClockSkew}
			got, err := reader.read(t.Context())
			if err != nil || reader.incomplete() != "" {
				t.Fatal(err, reader.incomplete())
			}
			var want []core.Event
			for _, e := range sorted {
				if c.filter.Matches(e) {
					want = append(want, e)
				}
			}
			if diff := cmp.Diff(tail(want, c.limit), tail(timeline.Merge(got), c.limit)); diff != "" {
				t.Error(diff)
			}
			if store.listCalls > c.maxLists || store.getCalls > c.maxGets {
				t.Errorf("%d list calls and %d get calls, want at most %d and %d", store.listCalls, store.getCalls, c.maxLists, c.maxGets)
			}
		})
	}
}

func tail(events []core.Event, n int) []core.Event { return events[max(0, len(events)-n):] }

// Guards against a result that looks complete although a bound ended the search.
func TestBoundedSearchIsIncomplete(t *testing.T) {
	store, _ := newFilledStore(t)
	reader := chunkReader{objects: store, filter: timeline.Filter{Target: "none"}, limit: 10, latestKeyTime: maxTimestamp}
	if _, err := reader.read(t.Context()); err != nil || reader.incomplete() == "" {
		t.Errorf("error %v, incomplete %q", err, reader.incomplete())
	}
}

// Guards against chunks that replace one another because their first events have the same wall
// time, and against keys of earlier versions that are no longer read.
func TestChunksOfOneWallTimeAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := object.New()
		events := timeline.New("entry-1", timeline.NewClock(func() time.Duration { return time.Second }), 64)
		f := &eventFlusher{instance: "entry-1", timeline: events, objects: store}
		for _, count := range []int{22, 32} {
			for range count {
				events.Record(core.Event{Kind: "RequestRouted"})
			}
			f.flush(t.Context())
		}
		const oldKey = eventsPrefix + "00000000000500000000-entry-2"
		if err := store.Put(t.Context(), oldKey, []byte(`{"At":{"Wall":500000000},"Instance":"entry-2","Kind":"RequestRouted"}`)); err != nil {
			t.Fatal(err)
		}
		reader := chunkReader{objects: store, limit: 1 << 20, latestKeyTime: maxTimestamp}
		stored, err := reader.read(t.Context())
		if err != nil || len(stored) != 55 {
			t.Errorf("%d events stored, want 55; error %v", len(stored), err)
		}
	})
}
