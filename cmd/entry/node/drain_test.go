package node

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// promptHeader is the header of a prompt whose answer has the given number of events.
func promptHeader(events int) []string {
	return []string{"X-Model", "m", "X-Token-Count", fmt.Sprintf("5000,%d", events), "X-Prompt-Prefix", "ab:4000,cd:1000"}
}

// Guards against streams that are cut in the middle at the end of the grace period, since the
// leaving instance took them although it could not finish them.
func TestLeavingInstanceCutsNoStream(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	for _, tg := range s.targets {
		tg.SetEvents(1000, 5*time.Millisecond)
	}
	for n := range 10 {
		if got := i.call(t, "/stream/x", fmt.Sprintf("learn%d", n), promptHeader(17)...); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		i.drain()
	}()
	time.Sleep(600 * time.Millisecond)
	if got := i.call(t, "/stream/x", "short", promptHeader(20)...); got.status != 200 || strings.Count(got.body, "id: ") != 20 {
		t.Errorf("%+v", got)
	}
	// 1.9 s, of which at most 1.7 s are left.
	if got := i.call(t, "/stream/x", "long", promptHeader(380)...); got.status != 503 || !got.close {
		t.Errorf("status %d, %d events", got.status, strings.Count(got.body, "id: "))
	}
	<-drained
	s.eventually(time.Second, "a log line says that all requests ended", func() bool {
		return strings.Contains(i.output.String(), "Event=Left ")
	})
}
