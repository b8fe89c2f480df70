package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/standin/platform"
)

// Guards against a continuation that is the late answer to an earlier request on the connection.
func TestLeftoverIsNoContinuation(t *testing.T) {
	for name, head := range map[string]string{"unnamed": "", "of another request": "X-Request-Id: r0\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode")
			all := []core.Registration{
				registration(f.targets[0], "prefill"), registration(f.targets[1], "decode"), registration(f.targets[2], "decode"),
			}
			f.roster.Replace(0, 2, []core.Registration{all[0], all[2]})
			if got := f.sendAttempt("r0"); got.status != http.StatusOK {
				t.Fatalf("%+v", got)
			}
			f.roster.Replace(0, 3, all[:2])
			event := "id: 7\ndata: piece 7 of r0\n\n"
			f.targets[2].SetLeftover(fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
				head, len(event), event))
			f.targets[1].InjectFaults(platform.Stall)
			answered := make(chan response, 1)
			go func() { answered <- f.sendPrompt(t.Context(), "/resumable/x") }()
			for len(f.targets[1].Runs()) == 0 {
				time.Sleep(time.Millisecond)
			}
			f.roster.Replace(0, 4, all)
			if got := <-answered; strings.Contains(got.body, "r0") {
				t.Errorf("%+v", got)
			}
			if arrivals := len(f.targets[2].Arrivals()); arrivals < 2 {
				t.Errorf("%d requests at the second engine, want the continuation too", arrivals)
			}
		})
	}
}

// Guards against events of two engines in turns, or twice, when a silent engine goes on at the time at
// which another one answers.
func TestEventsOfTwoEnginesAreNotMixed(t *testing.T) {
	for delay := time.Duration(0); delay < platform.PauseTime; delay += platform.PauseTime / 24 {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode")
			f.targets[1].InjectFaults(platform.Pause)
			f.targets[2].SetProcessingTime(delay)
			for i, tg := range f.targets[1:] {
				tg.SetVersion(fmt.Sprint("engine", i)) // only the events name it, not the registry
				tg.SetEvents(40, time.Millisecond)
			}
			got := f.sendPrompt(t.Context(), "/resumable/x")
			if got.status != http.StatusOK || got.err != nil {
				t.Fatalf("%+v", got)
			}
			events := strings.Split(strings.TrimSuffix(got.body, "\n\n"), "\n\n")
			hasMoved := false
			for i, event := range events {
				if !strings.HasPrefix(event, fmt.Sprintf("id: %d\ndata: piece %d of r1", i, i)) {
					t.Fatalf("event %d is %q", i, event)
				}
				isSecond := strings.HasSuffix(event, platform.VersionNote+"engine1")
				if hasMoved && !isSecond {
					t.Fatalf("event %d is of the first engine again", i)
				}
				hasMoved = isSecond
			}
			if len(events) != 40 {
				t.Errorf("%d events", len(events))
			}
		})
	}
}
