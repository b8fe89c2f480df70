package platform_test

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/route"
	"gorseline/io/forward"
	"gorseline/standin/platform"
)

// Guards against a version that changes or gets lost between instances, and against entries that
// cost more bytes without one.
func TestVersionIsExchangedByPeers(t *testing.T) {
	for _, version := range []core.SoftwareVersion{"", "v1.1"} {
		data, err := cbor.Marshal(core.Registration{Version: version})
		if err != nil {
			t.Fatal(err)
		}
		var got core.Registration
		if err := cbor.Unmarshal(data, &got); err != nil || got.Version != version {
			t.Errorf("%q is decoded as %q, %v", version, got.Version, err)
		}
		if version == "" && bytes.Contains(data, []byte("Version")) {
			t.Error("an unknown version is encoded")
		}
	}
}

// engine is one engine of a fixture with several software versions.
type engine struct {
	phase   string
	version core.SoftwareVersion
}

// newVersionFixture starts a forwarder with engines of several versions.
func newVersionFixture(t *testing.T, engines ...engine) *fixture {
	t.Helper()
	phases := make([]string, len(engines))
	for i, e := range engines {
		phases[i] = e.phase
	}
	f := newFixture(t, phases...)
	f.register(2, engines)
	return f
}

// register replaces the list of engines. An empty phase leaves out an engine.
func (f *fixture) register(version uint64, engines []engine) {
	var list []core.Registration
	for i, e := range engines {
		if e.phase == "" {
			continue
		}
		r := registration(f.targets[i], e.phase)
		r.Version = e.version
		list = append(list, r)
	}
	f.roster.Replace(0, version, list)
}

// another starts a second forwarder that shares the record of streams and lists the engines.
func (f *fixture) another(engines ...engine) *fixture {
	f.t.Helper()
	other := startFixture(f.t, f.targets, f.streams)
	other.register(2, engines)
	return other
}

// sendAttempt sends a request with a prompt on the resumable route.
func (f *fixture) sendAttempt(id string, header ...string) response {
	f.t.Helper()
	header = append(header, "X-Model", "m", "X-Token-Count", "3000,8", "X-Prompt-Prefix", "ab:2500,cd:500")
	return f.do(f.t.Context(), http.MethodPost, "/resumable/x", id, "the prompt", header...)
}

// arrivals returns how many requests reached the targets with the given indexes.
func (f *fixture) arrivals(targets ...int) int {
	count := 0
	for _, i := range targets {
		count += len(f.targets[i].Arrivals())
	}
	return count
}

// Guards against a broken stream that goes on at an engine of another version within one answer.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	tests := map[string]struct {
		last       core.SoftwareVersion
		isComplete bool
	}{
		"only another version is free": {"v1.1", false},
		"its version is free":          {"v1", true},
		"an unknown version is free":   {"", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"}, engine{"decode", "v1.1"}, engine{"decode", test.last})
			// The first of several idle engines of the prompt's version is chosen.
			f.targets[1].InjectFaults(platform.CutStream)
			got := f.sendAttempt("r1")
			if isComplete := got.err == nil && got.body == completeStream(); isComplete != test.isComplete {
				t.Errorf("response %+v", got)
			}
			if count := f.arrivals(2); count != 0 {
				t.Errorf("%d requests reached an engine of another version", count)
			}
			if count := f.arrivals(3); count > 0 != test.isComplete {
				t.Errorf("%d requests reached the last engine", count)
			}
		})
	}
}

// Guards against a stream of an engine of unknown version that goes on at one of a known version.
func TestStreamOfUnknownVersionStaysThere(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", ""}, engine{"decode", ""}, engine{"decode", "v1"})
	f.targets[1].InjectFaults(platform.CutStream)
	if got := f.sendAttempt("r1"); got.err == nil || f.arrivals(2) != 0 {
		t.Errorf("response %+v, %d requests reached the other engine", got, f.arrivals(2))
	}
}

// Guards against a stream that a caller continues at another instance and that goes on at an
// engine of another version, the first time or later, with its prompt computed there or not.
func TestContinuationGoesToItsVersion(t *testing.T) {
	all := []engine{{"prefill", "v1.1"}, {"decode", "v1.1"}, {"prefill", "v1"}, {"decode", "v1"}, {"prefill", "v1.2"}, {"decode", "v1.2"}}
	for first := 0; first < len(all); first += 2 {
		t.Run(string(all[first].version), func(t *testing.T) {
			t.Parallel()
			f := newVersionFixture(t, all...)
			only := make([]engine, len(all))
			copy(only[first:], all[first:first+2])
			f.register(3, only)
			if got := f.sendAttempt("r1"); got.status != http.StatusOK {
				t.Fatalf("response %+v", got)
			}
			other := f.another(all...)
			for i := range 6 {
				id := fmt.Sprint("later", i)
				if got := other.sendAttempt(id, "Last-Event-Id", "1", "Resumes", "r1"); got.status != http.StatusOK {
					t.Fatalf("response %+v", got)
				}
				for target, tg := range f.targets {
					for _, arrival := range tg.Arrivals() {
						if target != first && target != first+1 && arrival.ID == id {
							t.Errorf("attempt %d reached an engine of version %s", i, all[target].version)
						}
					}
				}
			}
			starts := f.streams.allStarts()
			if len(starts) == 0 {
				t.Error("nothing is recorded")
			}
			for _, s := range starts {
				if s.Request != "r1" || s.Version != all[first].version {
					t.Errorf("recorded %+v", s)
				}
			}
		})
	}
}

// Guards against a continuation without a prompt that goes on at another version.
func TestContinuationWithoutPromptGoesToItsVersion(t *testing.T) {
	engines := []engine{{"decode", "v1.1"}, {"decode", "v1.1"}, {"decode", "v1"}}
	f := newVersionFixture(t, engines...)
	f.streams.RecordStreamStart(core.StreamStart{Service: "models", Request: "r1", Version: "v1"})
	for i := range 4 {
		got := f.do(t.Context(), http.MethodPost, "/resumable/x", fmt.Sprint("later", i), "", "Last-Event-Id", "1", "Resumes", "r1")
		if got.status != http.StatusOK || f.arrivals(0, 1) != 0 {
			t.Fatalf("response %+v, %d requests reached engines of another version", got, f.arrivals(0, 1))
		}
	}
}

// Guards against a stream that goes on although no engine of its version serves or its version
// isn't known, and against a caller that isn't told that its request has not run.
func TestContinuationIsRefusedWithoutItsVersion(t *testing.T) {
	tests := map[string]struct {
		began   core.SoftwareVersion
		resumes []string
	}{
		"version has left":              {"v0", []string{"Resumes", "r1"}},
		"unknown":                       {"", []string{"Resumes", "r1"}},
		"unknown, no attempt named":     {"", nil},
		"its own name, version left":    {"v0", []string{"Resumes", ""}},
		"version differs in its suffix": {"v1.10", []string{"Resumes", "r1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"}, engine{"decode", "v1.1"})
			if test.began != "" {
				for _, id := range []core.RequestID{"r1", "later"} {
					f.streams.RecordStreamStart(core.StreamStart{Service: "models", Request: id, Version: test.began})
				}
			}
			began := time.Now()
			got := f.sendAttempt("later", append(test.resumes, "Last-Event-Id", "1", "X-Deadline-Ms", "2000")...)
			wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if got.status != http.StatusServiceUnavailable || err != nil || wait <= 0 || wait > 2.0/3 {
				t.Errorf("response %+v", got)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("refused after %v", took)
			}
			if count := f.arrivals(0, 1, 2); count != 0 {
				t.Errorf("%d requests reached engines", count)
			}
		})
	}
}

// Guards against an instance that relays events of a stream whose version no other instance can
// learn.
func TestStreamStartIsRecordedBeforeItsFirstEvent(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"})
	f.streams.delay = 100 * time.Millisecond
	f.targets[1].InjectFaults(platform.Stall)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+"/resumable/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header = http.Header{
		"X-Request-Id": {"r1"}, "X-Token-Count": {"3000,8"}, "X-Prompt-Prefix": {"ab:2500,cd:500"}, "X-Deadline-Ms": {"2000"},
	}
	resp, err := f.server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	starts := f.streams.allStarts()
	if len(starts) != 1 || starts[0].Service != "models" || starts[0].Request != "r1" || starts[0].Version != "v1" {
		t.Fatalf("recorded %+v when the first event arrived", starts)
	}
	if left := starts[0].Deadline.Sub(f.forwarder.Clock.Now()); left < time.Second || left > 2*time.Second {
		t.Errorf("the caller is expected to continue the stream for %v more", left)
	}
}

// Guards against a recorded version that was looked up by the ID of an engine after it was sent
// the request: the engine may have restarted with another version.
func TestRecordedVersionIsThatOfTheSend(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"})
	f.targets[1].SetProcessingTime(200 * time.Millisecond)
	done := make(chan response, 1)
	go func() { done <- f.sendAttempt("r1") }()
	for len(f.targets[1].Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	restarted := registration(f.targets[1], "decode")
	restarted.Started, restarted.Version = 1, "v1.1"
	f.roster.Replace(0, 3, []core.Registration{restarted})
	if got := <-done; got.status != http.StatusOK {
		t.Fatalf("response %+v", got)
	}
	if starts := f.streams.allStarts(); len(starts) != 1 || starts[0].Version != "v1" {
		t.Errorf("recorded %+v", starts)
	}
}

// Guards against records of streams that can't be continued.
func TestOnlyResumableStreamsAreRecorded(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"})
	f.sendPrompt(t.Context(), "/single/x")
	f.targets[1].InjectFaults(platform.Fail)
	f.sendAttempt("r2", "X-Deadline-Ms", "300")
	if starts := f.streams.allStarts(); len(starts) != 0 {
		t.Errorf("recorded %+v", starts)
	}
}

// Guards against a continuation that is sent to another service of a split than its stream: the
// service is chosen by the ID of the request, and each attempt has its own.
func TestContinuationUsesTheServiceOfItsStream(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"})
	c := configuration(2)
	splits := []core.Split{{Service: "models", Weight: 1}, {Service: "others", Weight: 1}}
	for i := range c.Routes {
		if c.Routes[i].Resumable {
			c.Routes[i].Splits = splits
		}
	}
	c.Services["others"] = core.ServiceLimits{Name: "others", Engine: c.Services["models"].Engine}
	f.forwarder.Configure(route.NewTable(c))
	ids := map[core.Service]string{}
	for i := 0; len(ids) < 2; i++ {
		id := fmt.Sprint("r", i)
		ids[route.SelectService(&core.Route{Splits: splits}, core.RequestID(id))] = id
	}
	f.streams.RecordStreamStart(core.StreamStart{Service: "models", Request: core.RequestID(ids["models"]), Version: "v1"})
	if got := f.sendAttempt(ids["others"], "Last-Event-Id", "1", "Resumes", ids["models"]); got.status != http.StatusOK {
		t.Errorf("response %+v", got)
	}
}

// Guards against continuations that are counted as something else than what became of them, or
// whose refusal doesn't say why.
func TestContinuationsAreCounted(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"})
	f.streams.RecordStreamStart(core.StreamStart{Service: "models", Request: "old", Version: "v0"})
	f.sendAttempt("r1")
	f.sendAttempt("r2", "Last-Event-Id", "1", "Resumes", "r1")
	f.sendAttempt("r3", "Last-Event-Id", "1", "Resumes", "old")
	f.sendAttempt("r4", "Last-Event-Id", "1", "Resumes", "unknown")
	f.closeServer() // waits for the requests, which may still write log lines
	want := map[forward.ContinuationResult]int{
		forward.ContinuationRelayed: 1, forward.ContinuationNoEngine: 1, forward.ContinuationVersionUnknown: 1,
	}
	if !maps.Equal(f.observer.counts, want) {
		t.Errorf("counted %v, want %v", f.observer.counts, want)
	}
	reasons := map[any]any{}
	for _, e := range f.logs.Entries {
		if e.Message == "RequestRefused" {
			reasons[e.Fields["Request"]] = e.Fields["Reason"]
		}
	}
	if reasons[core.RequestID("r3")] != assign.ReasonNoEngineOfVersion || reasons[core.RequestID("r4")] != forward.ReasonStreamVersionUnknown {
		t.Errorf("logged reasons %v", reasons)
	}
}

// Guards against refusing to continue a stream because the lookup of its version took most of the
// objective for the first event, which the caller got in an earlier attempt.
func TestSlowLookupDoesNotRefuseContinuation(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"})
	c := configuration(2)
	for i := range c.Routes {
		c.Routes[i].Objective = 150 * time.Millisecond
	}
	f.forwarder.Configure(route.NewTable(c))
	f.streams.RecordStreamStart(core.StreamStart{Service: "models", Request: "r1", Version: "v1"})
	f.streams.lookupDelay = 200 * time.Millisecond
	if got := f.sendAttempt("r2", "Last-Event-Id", "1", "Resumes", "r1"); got.status != http.StatusOK {
		t.Errorf("response %+v", got)
	}
}

// Guards against recording the version of an engine that was silent before the first event, when
// an engine of another version began the stream instead.
func TestStreamHasTheVersionOfItsFirstEvent(t *testing.T) {
	f := newVersionFixture(t, engine{"prefill", "v1"}, engine{"decode", "v1"}, engine{"decode", "v1.1"})
	f.targets[1].InjectFaults(platform.PauseFirst)
	if got := f.sendAttempt("r1"); got.status != http.StatusOK || got.body != completeStream() {
		t.Fatalf("response %+v", got)
	}
	began := core.SoftwareVersion("v1")
	if len(f.targets[2].Runs()) > 0 {
		began = "v1.1"
	}
	if starts := f.streams.allStarts(); len(starts) != 1 || starts[0].Version != began {
		t.Errorf("recorded %+v, began at %s", starts, began)
	}
}
