package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

const (
	// flushInterval is the longest time between two flushes. A killed instance loses the
	// events since its last flush.
	flushInterval = 10 * time.Second
	// pendingPollInterval is how often the flusher checks whether a chunk is full. With
	// --events-kept at 8,192, no event is lost at rates of up to 8,192 per second.
	pendingPollInterval = time.Second
	// chunkEvents is the maximum number of events in a chunk, which keeps it to about
	// 256 KB.
	chunkEvents  = 1024
	flushTimeout = 5 * time.Second
	// maxClockSkew is how far the clocks of other instances may be ahead of this one's.
	maxClockSkew = time.Minute
	// maxAnswerEvents bounds the events of one answer.
	maxAnswerEvents = 10000
)

// eventFlusher writes the events of this instance to the object store, so that they outlive
// the process. It also answers timeline queries.
type eventFlusher struct {
	instance string
	timeline *timeline.Timeline
	objects  core.ObjectStore
	log      log.Interface
	// failedChunk is the chunk of the last failed write; the next flush retries it.
	failedChunk []core.Event
	// buffer holds the encoded chunk and is reused.
	buffer bytes.Buffer
}

func newEventFlusher(lc fx.Lifecycle, s Settings, t *timeline.Timeline, p *platform, l log.Interface) *eventFlusher {
	f := &eventFlusher{instance: s.Instance, timeline: t, objects: p.objects, log: l}
	lifecycle.Register(lc, newLoop(f.run))
	return f
}

// run flushes until ctx ends, and then once more.
func (f *eventFlusher) run(ctx context.Context) {
	ticker := time.NewTicker(pendingPollInterval)
	defer ticker.Stop()
	for polls := 1; ; polls++ {
		select {
		case <-ctx.Done():
			f.flush(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			if f.timeline.Pending() >= chunkEvents || polls >= int(flushInterval/pendingPollInterval) {
				f.flush(ctx)
				polls = 0
			}
		}
	}
}

// flush writes chunks until no event is pending or a write fails. While the store is
// unavailable, the timeline drops its oldest pending events and counts them as lost.
func (f *eventFlusher) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		chunk := f.failedChunk
		if chunk == nil {
			chunk = f.timeline.DrainPending(chunkEvents)
		}
		if len(chunk) == 0 {
			return
		}
		if err := f.put(ctx, chunk); err != nil {
			f.failedChunk = chunk
			f.log.WithError(err).Warn("timeline: chunk not written, kept for the next try")
			return
		}
		f.failedChunk = nil
	}
}

func (f *eventFlusher) put(ctx context.Context, chunk []core.Event) error {
	f.buffer.Reset()
	encoder := json.NewEncoder(&f.buffer)
	for _, e := range chunk {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return f.objects.Put(ctx, chunkKey(chunk[0].At, f.instance), f.buffer.Bytes())
}

// events answers a query from the events in memory and, if the request is for the whole
// fleet, also from the object store.
func (f *eventFlusher) events(ctx context.Context, r operator.TimelineRequest) operator.TimelineAnswer {
	limit := r.Limit
	if limit <= 0 || limit > maxAnswerEvents {
		limit = maxAnswerEvents
	}
	sources := [][]core.Event{f.timeline.Events(r.Filter)}
	var answer operator.TimelineAnswer
	if r.Fleet {
		reader := chunkReader{
			objects: f.objects, filter: r.Filter, limit: limit, latestKeyTime: timeline.WallTime() + maxClockSkew,
		}
		stored, err := reader.read(ctx)
		answer.Incomplete = reader.incomplete()
		if err != nil {
			answer.Incomplete = "the object store was not read: " + err.Error()
		}
		sources = append(sources, stored)
	}
	if lost := f.timeline.Lost(); lost > 0 && answer.Incomplete == "" {
		answer.Incomplete = fmt.Sprintf("%d events of this instance were not written to the object store", lost)
	}
	answer.Events = timeline.Merge(sources...)
	if extra := len(answer.Events) - limit; extra > 0 {
		answer.Events = answer.Events[extra:]
	}
	return answer
}
