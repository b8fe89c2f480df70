package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/standin/object"
)

// countedStore counts the calls of an object store.
type countedStore struct {
	*object.Store
	lists, gets int
}

func (s *countedStore) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	s.lists++
	return s.Store.List(ctx, prefix, limit)
}

func (s *countedStore) Get(ctx context.Context, key string) ([]byte, error) {
	s.gets++
	return s.Store.Get(ctx, key)
}

// storedDay fills a store with chunks of 60 instances over a quarter of an hour and
// returns all events.
func storedDay(t *testing.T) (*countedStore, []core.Event) {
	t.Helper()
	store := &countedStore{Store: object.New()}
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
			if err := store.Put(t.Context(), chunkKey(chunk[0].At.Wall, string(chunk[0].Instance)), body.Bytes()); err != nil {
				t.Fatal(err)
			}
			all = append(all, chunk...)
		}
	}
	return store, all
}

// Guards against a query of a large store that reads the oldest chunks instead of
// the newest, misses events at the edges of its time range, or reads the whole store:
// the answer is compared with a filter over all events.
func TestLatestEventsOfLargeStore(t *testing.T) {
	store, all := storedDay(t)
	newest := timeline.Merge(all)
	last := newest[len(newest)-1].At.Wall
	for _, c := range []struct {
		name             string
		filter           timeline.Filter
		limit            int
		maxLists, maxGet int
	}{
		{"latest", timeline.Filter{}, 200, 60, 400},
		{"of an instance", timeline.Filter{Instance: "entry-7"}, 60, 90, 40},
		{"of a target", timeline.Filter{Target: "t3"}, 20, 60, maxChunks},
		{"of a time range", timeline.Filter{From: last - 200*time.Second, To: last - 170*time.Second}, 10000, 60, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			store.lists, store.gets = 0, 0
			reader := chunkReader{objects: store, filter: c.filter, limit: c.limit, newest: last + maxClockSkew}
			got, err := reader.read(t.Context())
			if err != nil || reader.incomplete() != "" {
				t.Fatal(err, reader.incomplete())
			}
			want := timeline.Merge(all)
			kept := want[:0]
			for _, e := range want {
				if c.filter.Matches(e) {
					kept = append(kept, e)
				}
			}
			if diff := cmp.Diff(tail(kept, c.limit), tail(timeline.Merge(got), c.limit)); diff != "" {
				t.Error(diff)
			}
			if store.lists > c.maxLists || store.gets > c.maxGet {
				t.Errorf("%d lists and %d reads, want at most %d and %d", store.lists, store.gets, c.maxLists, c.maxGet)
			}
		})
	}
}

func tail(events []core.Event, n int) []core.Event { return events[max(0, len(events)-n):] }

// Guards against an answer that looks complete when a bound ended the search.
func TestBoundedSearchSaysSo(t *testing.T) {
	store, _ := storedDay(t)
	reader := chunkReader{objects: store, filter: timeline.Filter{Target: "none"}, limit: 10, newest: latestTime}
	if _, err := reader.read(t.Context()); err != nil || reader.incomplete() == "" {
		t.Errorf("error %v, incomplete %q", err, reader.incomplete())
	}
}
