package stream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"gorseline/core"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTestRelay(o Options) *Relay {
	o.Clock, o.Signer = core.NewProcessClock(), newTestSigner()
	return NewRelay(o)
}

// Guards against repeated or mixed text after a rerun. A rerun with other text must
// fail with a typed error; one with other piece boundaries must succeed.
func TestRerunMustRepeatTheDeliveredText(t *testing.T) {
	first, text := wordPieces("s1", "x/1", 6)
	same := []core.Piece{
		{Stream: "s2", Attempt: "x/2", Text: text[:5], Tokens: 2},
		{Stream: "s2", Attempt: "x/2", Offset: 2, Text: text[5:], Tokens: 4},
		{Stream: "s2", Attempt: "x/2", Offset: 6, Final: true, Total: 6},
	}
	other, _ := wordPieces("s2", "x/2", 6)
	other[1].Text = "no "
	short := []core.Piece{same[0], {Stream: "s2", Attempt: "x/2", Offset: 2, Final: true, Total: 2}}
	tests := []struct {
		name   string
		rerun  []core.Piece
		reason core.Reason
		text   string
	}{
		{"same text in other pieces", same, EndComplete, text},
		{"other text", other, EndDiverged, text[:9]},
		{"shorter text", short, EndDiverged, text[:9]},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &fakeCompleter{endErr: core.ErrStreamCut}
				engine.complete = func(address string, _ core.CompletionRequest) ([]core.Piece, error) {
					if address == "a" {
						return first[:3], nil
					}
					return test.rerun, nil
				}
				engine.resume = func(string, string, int) ([]core.Piece, error) { return nil, errors.New("refused") }
				out := newRecordingSink()
				result := newTestRelay(Options{Completer: engine}).Serve(t.Context(), testCall(), out)
				if result.Reason != test.reason || out.text.String() != test.text {
					t.Errorf("reason %s, text %q; want %s, %q", result.Reason, out.text.String(), test.reason, test.text)
				}
				if (out.refusal == nil) != (test.reason == EndComplete) {
					t.Errorf("refusal %v", out.refusal)
				}
			})
		})
	}
}

// Guards against an answer that is reported complete although tokens are missing or
// its token count is wrong.
func TestCompleteAnswers(t *testing.T) {
	whole, text := wordPieces("s", "x/1", 5)
	wrong := append(append([]core.Piece{}, whole[:5]...), core.Piece{Stream: "s", Attempt: "x/1", Offset: 5, Final: true, Total: 4})
	foreign := append([]core.Piece{{Stream: "s9", Attempt: "y/1", Text: "late "}}, whole...)
	tests := []struct {
		name    string
		pieces  []core.Piece
		outcome core.OutcomeKind
		resumes int
		stale   int64
	}{
		{"whole", whole, core.OutcomeDone, 0, 0},
		{"late piece of another attempt", foreign, core.OutcomeDone, 0, 1},
		{"missing piece", append(append([]core.Piece{}, whole[:2]...), whole[3:]...), core.OutcomeDone, 1, 0},
		{"wrong count", wrong, core.OutcomeCut, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &fakeCompleter{}
				engine.complete = func(string, core.CompletionRequest) ([]core.Piece, error) { return test.pieces, nil }
				engine.resume = func(_, _ string, offset int) ([]core.Piece, error) { return whole[offset:], nil }
				out := newRecordingSink()
				relay := newTestRelay(Options{Completer: engine})
				result := relay.Serve(t.Context(), testCall(), out)
				if result.Outcome != test.outcome || result.Resumes != test.resumes {
					t.Errorf("result %+v", result)
				}
				if test.outcome == core.OutcomeDone && (out.text.String() != text || out.finished != 5) {
					t.Errorf("text %q, finished %d", out.text.String(), out.finished)
				}
				if test.outcome != core.OutcomeDone && (out.finished >= 0 || out.refusal == nil) {
					t.Errorf("finished %d, refusal %v", out.finished, out.refusal)
				}
				if got := relay.Counters(); got.Stale != test.stale || got.Open != 0 {
					t.Errorf("counters %+v", got)
				}
			})
		})
	}
}

// Guards against a false "not run": only core.ErrNotRun, which stands for refusals and
// failed dials, counts. Such requests go to the next target even if they are not
// repeatable.
func TestNotRun(t *testing.T) {
	tests := []struct {
		name     string
		err      error
		calls    int
		outcome  core.OutcomeKind
		deadline time.Duration
	}{
		{"refused everywhere", core.ErrNotRun, 3, core.OutcomeNotRun, 0},
		{"lost after sending", errors.New("reset"), 1, core.OutcomeCut, 0},
		{"refused until the deadline", core.ErrNotRun, 1, core.OutcomeNotRun, time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &fakeCompleter{complete: func(string, core.CompletionRequest) ([]core.Piece, error) {
					time.Sleep(2 * test.deadline)
					return nil, test.err
				}}
				call := testCall()
				call.Request.Kind.Repeatable = false
				call.Request.Deadline = core.Instant(test.deadline)
				out := newRecordingSink()
				result := newTestRelay(Options{Completer: engine}).Serve(t.Context(), call, out)
				if result.Outcome != test.outcome || len(engine.calls) != test.calls {
					t.Errorf("result %+v after %v", result, engine.calls)
				}
				if out.refusal == nil || out.refusal.NotRun != (test.outcome == core.OutcomeNotRun) {
					t.Errorf("refusal %v", out.refusal)
				}
			})
		})
	}
}

// Guards against a caller that waits without heartbeats, and against one that waits
// beyond its deadline for an engine that sends nothing.
func TestHeartbeatsAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeCompleter{complete: func(string, core.CompletionRequest) ([]core.Piece, error) { return nil, nil }}
		relay := newTestRelay(Options{Completer: engine, MissedHeartbeats: 100})
		call := testCall()
		call.Request.Deadline = core.Instant(5500 * time.Millisecond)
		out := newRecordingSink()
		started := time.Now()
		result := relay.Serve(t.Context(), call, out)
		if result.Reason != EndDeadline || time.Since(started) != 5500*time.Millisecond {
			t.Errorf("%s after %v", result.Reason, time.Since(started))
		}
		if out.heartbeats != 5 {
			t.Errorf("%d heartbeats in 5.5 s", out.heartbeats)
		}
	})
}

// Guards against a write that blocks its goroutine indefinitely because the caller doesn't
// read.
func TestBlockedSinkIsInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pieces, _ := wordPieces("s", "x/1", 5)
		engine := &fakeCompleter{complete: func(string, core.CompletionRequest) ([]core.Piece, error) { return pieces, nil }}
		out := newRecordingSink()
		out.block = make(chan struct{})
		started := time.Now()
		result := newTestRelay(Options{Completer: engine}).Serve(t.Context(), testCall(), out)
		if result.Reason != EndCallerStalled || time.Since(started) > 17*time.Second {
			t.Errorf("%s after %v", result.Reason, time.Since(started))
		}
		if len(engine.cancelled) != 0 {
			t.Error("the stream of a stalled caller was cancelled")
		}
	})
}
