package dispatch_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/dispatch"
	"gorseline/core/drain"
	"gorseline/core/policy"
	"gorseline/core/retry"
	"gorseline/core/routing"
	"gorseline/core/stream"
	"gorseline/core/timeline"
)

// fakeEngines answers each request with the error of its address, or with one token.
type fakeEngines struct {
	errors   map[string]error
	called   []string
	requests []core.CompletionRequest
}

func (f *fakeEngines) Complete(_ context.Context, address string, r core.CompletionRequest) (core.PieceReader, error) {
	f.called = append(f.called, address)
	f.requests = append(f.requests, r)
	if err := f.errors[address]; err != nil {
		return nil, err
	}
	return &oneTokenReader{attempt: r.Attempt}, nil
}

func (f *fakeEngines) Resume(context.Context, string, string, int) (core.PieceReader, error) {
	return nil, core.ErrUnknownStream
}

func (f *fakeEngines) Cancel(context.Context, string, string) error { return nil }

// oneTokenReader reads a complete answer of one token.
type oneTokenReader struct {
	attempt core.AttemptID
	sent    bool
}

func (r *oneTokenReader) Next(context.Context) (core.Piece, error) {
	if r.sent {
		return core.Piece{}, io.EOF
	}
	r.sent = true
	return core.Piece{Stream: "s", Attempt: r.attempt, Text: "word ", Tokens: 1, Final: true, Total: 1}, nil
}

func (r *oneTokenReader) Close() error { return nil }

// fakeSink records the answer to a caller.
type fakeSink struct {
	text     string
	finished bool
	refusal  *core.Refusal
}

func (s *fakeSink) Write(text, _ []byte, _ int) error    { s.text += string(text); return nil }
func (s *fakeSink) Flush() error                         { return nil }
func (s *fakeSink) Heartbeat() error                     { return nil }
func (s *fakeSink) Finish(int) error                     { s.finished = true; return nil }
func (s *fakeSink) Fail(r *core.Refusal, _ []byte) error { s.refusal = r; return nil }
func (s *fakeSink) Interrupt()                           {}

// complete runs one completion on a fleet of engines with the given roles. It returns the
// sink and the targets whose reports were requested.
func complete(t *testing.T, engines *fakeEngines, policyType string, roles ...core.Role) (*fakeSink, []core.TargetID) {
	t.Helper()
	clock := core.NewProcessClock()
	fleet := routing.NewStore(routing.StoreOptions{})
	var targets []core.Target
	for i, role := range roles {
		name := string(rune('a' + i))
		targets = append(targets, core.Target{
			ID: core.TargetID(name), Service: "llm", Address: name, Models: []core.Model{"m"}, Role: role,
		})
	}
	fleet.SetTargets(targets)
	for _, target := range targets {
		fleet.Report(clock.Now(), target.ID, core.LoadReport{Role: target.Role, Model: "m", KVCapacity: 1 << 20})
	}
	policies := policy.NewSet(func(core.Preset) core.Placer { return nil }, 1)
	err := policies.Apply(core.Configuration{
		PresetInForce: "day", Presets: map[string]core.Preset{"day": {Name: "day", Policy: "p"}},
		Policies: map[string]core.PolicyDocument{"p": {Name: "p", Type: policyType}},
	})
	if err != nil {
		t.Fatal(err)
	}
	signer, err := stream.NewTokenSigner([]byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	recorder := timeline.New("test", timeline.NewClock(timeline.WallTime), 64)
	retrier := retry.NewRetrier(retry.DefaultOptions(), random.New(1))
	var refreshed []core.TargetID
	d := dispatch.New(dispatch.Options{
		Policies: policies, Fleet: fleet, Completer: engines, Signer: signer, Retrier: retrier,
		Relay:    stream.NewRelay(stream.Options{Completer: engines, Clock: clock, Signer: signer}),
		Circuits: dispatch.NewCircuits(fleet, clock, random.New(1)), Draining: drain.NewTargets(),
		Clock: clock, Recorder: recorder, NewAttemptID: func() core.AttemptID { return "attempt" },
		RefreshReport: func(id core.TargetID) { refreshed = append(refreshed, id) },
	})
	sink := &fakeSink{}
	now := clock.Now()
	req := &core.Request{
		ID: "r", Organisation: "o", Model: "m", PromptTokens: 3000, OutputTokens: 1, Arrived: now,
		Deadline: now.Add(90 * time.Second), Kind: core.Kind{Name: "Review", Weight: 8, Repeatable: true},
	}
	d.Complete(context.Background(), req, core.CompletionRequest{Request: "r", Model: "m", MaxTokens: 1}, sink)
	return sink, refreshed
}

// Guards against requests that fail because of a planned role change. Until the next load
// report, requests still go to engines that have changed their role and refuse them; two
// such refusals used up the three attempts of a request.
func TestRefusalsDoNotCountAsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given four engines of which three refuse", t, func() {
			engines := &fakeEngines{errors: map[string]error{"a": core.ErrNotRun, "b": core.ErrNotRun, "c": core.ErrNotRun}}
			sink, refreshed := complete(t, engines, "RoundRobin",
				core.RoleMixed, core.RoleMixed, core.RoleMixed, core.RoleMixed)
			So(sink.refusal, ShouldBeNil)
			So(sink.finished, ShouldBeTrue)
			So(sink.text, ShouldEqual, "word ")
			So(len(refreshed), ShouldEqual, len(engines.called)-1)
		})
	})
}

// Guards against a prompt that is computed twice or not at all when no engine has the mixed
// role, and against requests that fail with their prefill engine.
func TestPromptIsComputedOnAPrefillEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given two prefill engines, of which one fails, and a decode engine", t, func() {
			engines := &fakeEngines{errors: map[string]error{"a": core.ErrUnavailable}}
			sink, _ := complete(t, engines, "Full", core.RolePrefill, core.RolePrefill, core.RoleDecode)
			So(sink.finished, ShouldBeTrue)
			last := len(engines.called) - 1
			So(engines.called[last], ShouldEqual, "c")
			So(engines.requests[last].ImportFrom, ShouldEqual, "b")
			So(engines.requests[last].PrefillOnly, ShouldBeFalse)
			So(engines.called[last-1], ShouldEqual, "b")
			So(engines.requests[last-1].PrefillOnly, ShouldBeTrue)
		})
	})
}
