package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/standin/object"
)

// Guards against events that are lost at peak load, lost without being counted while the
// object store is unavailable, or written twice. The stored and the lost events must add up
// to the recorded ones. 12,000 requests/s on 680 instances are 18 requests or 54 events per
// second on each instance; the load here is ten times that.
func TestLossAtPeakIsCounted(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage time.Duration
	}{{"peak", 0}, {"short outage", 10 * time.Second}, {"long outage", time.Minute}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const perSecond, burst, seconds = 540, 54, 70
				store := object.New()
				wall := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
				events := timeline.New("entry-1", timeline.NewClock(wall), 8192)
				f := &eventFlusher{instance: "entry-1", timeline: events, objects: store, log: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() { defer close(done); f.run(ctx) }()
				for second := range seconds {
					store.SetOutage(second >= 5 && second < 5+int(c.outage.Seconds()))
					for n := range perSecond {
						events.Record(core.Event{Kind: "RequestRouted"})
						if n%burst == burst-1 {
							time.Sleep(time.Second / (perSecond / burst))
						}
					}
				}
				cancel()
				<-done
				reader := chunkReader{objects: store, limit: 1 << 20, latestKeyTime: maxTimestamp}
				stored, err := reader.read(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				distinct := len(timeline.Merge(stored))
				if distinct != len(stored) || distinct+int(events.Lost()) != perSecond*seconds {
					t.Errorf("%d stored, %d of them distinct, %d lost, want a sum of %d", len(stored), distinct, events.Lost(), perSecond*seconds)
				}
				// The timeline buffers 8,192 events, which is 15 s at this rate. Only an outage of
				// a minute exceeds that.
				if lossy := c.outage == time.Minute; lossy != (events.Lost() > 0) {
					t.Errorf("%d events lost", events.Lost())
				}
				t.Logf("%d events recorded, %d lost", perSecond*seconds, events.Lost())
			})
		})
	}
}
