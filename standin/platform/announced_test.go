package platform_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/roster"
)

// Guards against requests that go on reaching a target after it has stated in an answer that it leaves,
// while the registry lists it as ready.
func TestTargetThatStatesLeavingGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/resumable/x"} {
		phase := ""
		if path == "/resumable/x" {
			phase = "decode"
		}
		f := newFixture(t, phase, phase, phase)
		f.targets[0].SetLeaving(true)
		send := func(id string) response {
			return f.do(t.Context(), http.MethodPost, path, id, "b", "X-Model", "m", "X-Token-Count", "300,100", "X-Prompt-Prefix", "ab:250,"+id+":50")
		}
		for i := 0; f.arrivals(0) == 0; i++ {
			if got := send(fmt.Sprint("first", i)); got.header.Get("Server-Leaving") != "" {
				t.Errorf("%s: the caller is told %v", path, got.header)
			}
		}
		before := f.arrivals(0)
		for i := range 20 {
			if got := send(fmt.Sprint("r", i)); got.status != http.StatusOK {
				t.Errorf("%s: %+v", path, got)
			}
		}
		// The registry lists it again, as it was and as read from an older copy.
		e, _ := f.roster.View().Find(core.TargetID(f.targets[0].ID()))
		again := e.Registration
		again.Leaving, again.Sequence = false, again.Sequence+1
		f.roster.Apply(0, f.roster.View().Version+1, []roster.Update{{ID: again.ID, Registration: &again}})
		for i := range 20 {
			send(fmt.Sprint("s", i))
		}
		if after := f.arrivals(0); after != before {
			t.Errorf("%s: %d requests reached the leaving target", path, after-before)
		}
		f.targets[0].SetLeaving(false)
		again.Started, again.Sequence = again.Started+1, 1
		f.roster.Apply(0, f.roster.View().Version+1, []roster.Update{{ID: again.ID, Registration: &again}})
		for i := range 20 {
			send(fmt.Sprint("t", i))
		}
		if f.arrivals(0) == before {
			t.Errorf("%s: a new process of the target gets nothing", path)
		}
	}
}

// Guards against requests that go on reaching a target after it has refused one and asked for a pause.
func TestTargetThatAsksForPauseGetsFewRequests(t *testing.T) {
	const grace, asked, more = 500 * time.Millisecond, 4 * time.Second, time.Second
	for path, phase := range map[string]string{"/safe/x": "", "/once/x": "", "/resumable/x": "decode"} {
		t.Run(path[1:5], func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, phase, phase)
			f.targets[0].Ask("4.0")
			for i, began := 0, time.Now(); time.Since(began) < asked+more; i++ {
				id := fmt.Sprint("r", i)
				got := f.do(t.Context(), http.MethodPost, path, id, "b", "X-Model", "m", "X-Token-Count", "300,100", "X-Prompt-Prefix", "ab:250,"+id+":50")
				if got.status != http.StatusOK {
					t.Errorf("%+v", got)
				}
				time.Sleep(10 * time.Millisecond)
			}
			arrivals := f.targets[0].Arrivals()
			if len(arrivals) == 0 {
				t.Fatal("no request reached the target")
			}
			late := 0
			for _, a := range arrivals {
				if since := a.At.Sub(arrivals[0].At); since > grace && since < asked {
					late++
				}
			}
			if late > 2 {
				t.Errorf("%d requests reached the target during the pause", late)
			}
			if last := arrivals[len(arrivals)-1].At.Sub(arrivals[0].At); last < asked {
				t.Errorf("no request after the pause, the last one after %v", last)
			}
		})
	}
}

// Guards against callers who are told to come back before any target may be used, and all at once.
func TestPauseOfAllTargetsIsToldToCallers(t *testing.T) {
	for path, phase := range map[string]string{"/safe/x": "", "/once/x": "", "/resumable/x": "decode"} {
		f := newFixture(t, phase, phase)
		f.targets[0].Ask("1.5")
		f.targets[1].Ask("9")
		var first response
		delays := map[string]bool{}
		for i := range 12 {
			id := fmt.Sprint("r", i)
			got := f.do(t.Context(), http.MethodPost, path, id, "b", "X-Model", "m", "X-Token-Count", "300,100", "X-Prompt-Prefix", "ab:250,"+id+":50")
			if got.status != http.StatusServiceUnavailable {
				t.Errorf("%s: %+v", path, got)
			}
			if i < 2 {
				first = got
				continue // both targets have to be asked
			}
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if err != nil || after < 1.2 || after > 2 {
				t.Errorf("%s: Retry-After %q, first %q", path, got.header.Get("Retry-After"), first.header.Get("Retry-After"))
			}
			delays[got.header.Get("Retry-After")] = true
		}
		if len(delays) < 5 {
			t.Errorf("%s: callers are told to come back at the same time: %v", path, delays)
		}
		if count := f.arrivals(0, 1); count > 4 {
			t.Errorf("%s: %d requests reached the targets", path, count)
		}
	}
}

// Guards against pauses that are no number, are negative or are stated by an answer that is no refusal.
func TestMalformedPauseIsIgnored(t *testing.T) {
	for _, text := range []string{"soon", "-3", "0", "1e300", "NaN", "Wed, 21 Oct 2026 07:28:00 GMT"} {
		f := newFixture(t, "")
		f.targets[0].Ask(text)
		f.do(t.Context(), http.MethodPost, "/safe/x", "r1", "b")
		f.targets[0].Ask("")
		time.Sleep(150 * time.Millisecond) // longer than a target is avoided after a refusal
		if got := f.do(t.Context(), http.MethodPost, "/safe/x", "r2", "b"); got.status != http.StatusOK {
			t.Errorf("%q: %+v", text, got)
		}
	}
}
