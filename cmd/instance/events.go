package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

const (
	// flushInterval bounds what a killed instance loses from the time line.
	flushInterval = 10 * time.Second
	// flushPoll is the time between two looks at whether a chunk is full. With 8,192
	// events kept nothing is lost up to that many events per second.
	flushPoll = time.Second
	// chunkEvents bounds a chunk to about 256 KB.
	chunkEvents  = 1024
	flushTimeout = 5 * time.Second
	// maxClockSkew is how far the clock of another instance may be ahead.
	maxClockSkew = time.Minute
	// maxAnswer bounds the events of one answer.
	maxAnswer = 10000
)

// eventFlusher writes events to the object store, so that they outlive the instance.
type eventFlusher struct {
	instance string
	timeline *timeline.Timeline
	objects  core.ObjectStore
	log      log.Interface
	// failed is a chunk whose write failed, kept for the next round.
	failed []core.Event
	// body is the buffer of chunks being written.
	body bytes.Buffer
}

func newEventFlusher(lifecycle fx.Lifecycle, s Settings, t *timeline.Timeline, p *platform, l log.Interface) *eventFlusher {
	f := &eventFlusher{instance: s.Instance, timeline: t, objects: p.objects, log: l}
	part.Register(lifecycle, newLoop(f.run))
	return f
}

// run flushes until ctx ends, and then once more.
func (f *eventFlusher) run(ctx context.Context) {
	ticker := time.NewTicker(flushPoll)
	defer ticker.Stop()
	for polls := 1; ; polls++ {
		select {
		case <-ctx.Done():
			f.flush(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			if f.timeline.Pending() >= chunkEvents || polls >= int(flushInterval/flushPoll) {
				f.flush(ctx)
				polls = 0
			}
		}
	}
}

// flush writes chunks until none is left or a write fails. While the store is down
// the oldest events give way in the time line, which counts them.
func (f *eventFlusher) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for {
		chunk := f.failed
		if chunk == nil {
			chunk = f.timeline.DrainPending(chunkEvents)
		}
		if len(chunk) == 0 {
			return
		}
		if err := f.put(ctx, chunk); err != nil {
			f.failed = chunk
			f.log.WithError(err).Warn("timeline: chunk not written, kept for the next try")
			return
		}
		f.failed = nil
	}
}

func (f *eventFlusher) put(ctx context.Context, chunk []core.Event) error {
	f.body.Reset()
	encoder := json.NewEncoder(&f.body)
	for _, e := range chunk {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return f.objects.Put(ctx, chunkKey(chunk[0].At.Wall, f.instance), f.body.Bytes())
}

// events answers a query from memory and, on request, from the object store.
func (f *eventFlusher) events(ctx context.Context, r operator.TimelineRequest) operator.TimelineAnswer {
	limit := r.Limit
	if limit <= 0 || limit > maxAnswer {
		limit = maxAnswer
	}
	lists := [][]core.Event{f.timeline.Events(r.Filter)}
	var answer operator.TimelineAnswer
	if r.Fleet {
		reader := chunkReader{
			objects: f.objects, filter: r.Filter, limit: limit, newest: timeline.WallTime() + maxClockSkew,
		}
		stored, err := reader.read(ctx)
		answer.Incomplete = reader.incomplete()
		if err != nil {
			answer.Incomplete = "the object store was not read: " + err.Error()
		}
		lists = append(lists, stored)
	}
	if lost := f.timeline.Lost(); lost > 0 && answer.Incomplete == "" {
		answer.Incomplete = fmt.Sprintf("%d events of this instance were not written to the object store", lost)
	}
	answer.Events = timeline.Merge(lists...)
	if extra := len(answer.Events) - limit; extra > 0 {
		answer.Events = answer.Events[extra:]
	}
	return answer
}
