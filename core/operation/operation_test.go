package operation_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	"gorseline/core/operation"
)

const (
	done    = core.OutcomeDone
	notRun  = core.OutcomeNotRun
	unknown = core.OutcomeUnknown
)

// Guards against "not run" said of a claim that may exist, a run without a durable claim,
// a second run, and an outcome that a later lookup contradicts.
func TestOutcomesUnderLostReplies(t *testing.T) {
	for _, c := range []struct {
		name   string
		script string // transactions in order: claim tries, then tries of the end
		target core.OutcomeKind
		want   core.OutcomeKind
		reason core.Reason
		runs   int32
		lookup core.OutcomeKind // after the waiting outcomes were flushed
	}{
		{"all well", "ok ok", done, done, "", 1, done},
		{"claim refused", "refused", done, notRun, core.ReasonStoreUnavailable, 0, unknown},
		{"claim's reply lost", "replylost ok ok", done, done, "", 1, done},
		{"claim lost and sent again", "lost ok ok", done, done, "", 1, done},
		{"claim lost, then refused, then settled", "lost refused ok ok", done, done, "", 1, done},
		{"claim's reply lost in an outage", "replylost" + strings.Repeat(" refused", 60), done, unknown, operation.ReasonClaimUnsettled, 0, notRun},
		{"claim lost in an outage", "lost" + strings.Repeat(" refused", 60), done, unknown, operation.ReasonClaimUnsettled, 0, notRun},
		{"target not reached", "ok ok", notRun, notRun, operation.ReasonTargetNotReached, 0, notRun},
		{"mark's reply lost", "ok replylost", notRun, notRun, operation.ReasonTargetNotReached, 0, notRun},
		{"mark refused for long", "ok" + strings.Repeat(" refused", 60), notRun, unknown, operation.ReasonClaimUnsettled, 0, notRun},
		{"connection failed", "ok ok", unknown, unknown, operation.ReasonConnectionFailed, 1, unknown},
		{"answer not recorded at once", "ok refused", done, done, "", 1, done},
		{"record's reply lost", "ok replylost", done, done, "", 1, done},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(strings.Fields(c.script)...)
				got := b.execute(t, b.Executor, "answer", c.target)
				if got.Outcome != c.want || got.Reason != c.reason || b.runs.Load() != c.runs {
					t.Errorf("got %+v after %d runs", got, b.runs.Load())
				}
				if again := b.execute(t, b.executor("b"), "second", done); c.runs == 1 && (again.Outcome == notRun || b.runs.Load() > 1) {
					t.Errorf("repeat of the key: %+v after %d runs", again, b.runs.Load())
				}
				if c.name == "claim refused" {
					return // the repeat has run
				}
				b.table.script = nil
				for range 3 {
					b.Flush(t.Context())
				}
				if later := b.lookup(t); later.Outcome != c.lookup && b.runs.Load() == c.runs {
					t.Errorf("later lookup: %+v", later)
				}
			})
		})
	}
}

// Guards against a repeat that runs again or gets another answer, and against a key that
// is accepted for another request.
func TestRepeatOfKey(t *testing.T) {
	b := newBench()
	b.execute(t, b.Executor, "first", done)
	again := b.execute(t, b.executor("b"), "second", done)
	if again.Outcome != done || !again.Repeated || string(again.Answer.Body) != "first" || b.runs.Load() != 1 {
		t.Errorf("repeat: %+v after %d runs", again, b.runs.Load())
	}
	other := grant
	other.Digest = "e"
	if got := b.Execute(t.Context(), other, b.target("third", done)); got.Outcome != notRun || got.Reason != operation.ReasonKeyReused {
		t.Errorf("other digest: %+v", got)
	}
}

// Guards against a claim that is taken over from a claimant that vanished or is paused
// for minutes, and a claimant that wakes up after its deadline and still sends.
func TestPausedClaimant(t *testing.T) {
	for _, inRun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench()
			slow := b.executor("slow")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if !inRun {
				// Before Execute: called beside it, the call may have ended by then.
				cancel()
			}
			ended := make(chan operation.Result, 1)
			go func() {
				ended <- slow.Execute(ctx, grant, func(ctx context.Context) core.ServiceResult {
					if inRun {
						time.Sleep(5 * time.Minute)
					}
					return b.target("slow", done)(ctx)
				})
			}()
			synctest.Wait()
			meanwhile := b.execute(t, b.Executor, "second", done)
			got := <-ended
			if inRun && (meanwhile.Outcome != unknown || got.Outcome != done || b.runs.Load() != 1) {
				t.Errorf("paused while sending: meanwhile %+v, then %+v, %d runs", meanwhile, got, b.runs.Load())
			}
			if !inRun && (got.Outcome != notRun || b.runs.Load() > 1) {
				t.Errorf("paused before sending: meanwhile %+v, then %+v, %d runs", meanwhile, got, b.runs.Load())
			}
		})
	}
}

// Guards against a large answer that is kept from its caller, stored in a row, or said to
// be recorded when it is not.
func TestLargeAnswers(t *testing.T) {
	for _, down := range []bool{false, true} {
		b := newBench()
		b.objects.down = down
		body := strings.Repeat("x", operation.MaxInlineAnswer+1)
		if got := b.execute(t, b.Executor, body, done); got.Outcome != done || len(got.Answer.Body) != len(body) {
			t.Errorf("object store down %v: caller got %d bytes, %v", down, len(got.Answer.Body), got.Outcome)
		}
		got := b.lookup(t)
		if got.Outcome != done || got.AnswerMissing != down || !down && string(got.Answer.Body) != body {
			t.Errorf("object store down %v: lookup %v, missing %v", down, got.Outcome, got.AnswerMissing)
		}
		for _, row := range b.table.rows {
			if len(row.Value) > operation.MaxInlineAnswer {
				t.Errorf("row of %d bytes", len(row.Value))
			}
		}
	}
}

// Guards against an automatic second call to a target that would run it twice, and
// against a try that was not sent hiding one that may have run.
func TestOnlyDeduplicatingTargetsGetASecondCall(t *testing.T) {
	for _, c := range []struct {
		deduplicates bool
		outcomes     []core.OutcomeKind
		want         core.OutcomeKind
	}{
		{false, []core.OutcomeKind{unknown, done}, unknown},
		{true, []core.OutcomeKind{unknown, done}, done},
		{true, []core.OutcomeKind{unknown, notRun, notRun}, unknown},
		{true, []core.OutcomeKind{unknown, notRun, done}, done},
		{true, []core.OutcomeKind{notRun}, notRun},
	} {
		b := newBench()
		call := grant
		call.Deduplicates = c.deduplicates
		if got := b.Execute(t.Context(), call, b.target("x", c.outcomes...)); got.Outcome != c.want {
			t.Errorf("%v: got %v, want %v", c.outcomes, got.Outcome, c.want)
		}
	}
}

// Guards against outcomes that pile up without bound during a long outage.
func TestPendingIsBounded(t *testing.T) {
	b := newBench()
	opts := operation.DefaultOptions()
	opts.Table, opts.Clock, opts.Recorder, opts.MaxPending = b.table, core.NewDeadlineClock(), discard{}, 2
	serial := 0
	opts.NewAttemptID = func() core.AttemptID {
		serial++
		return core.AttemptID(strings.Repeat("i", serial))
	}
	e := operation.New(opts)
	for _, key := range []core.OperationKey{"1", "2", "3"} {
		b.table.script = []string{"ok", "refused"}
		e.Execute(t.Context(), operation.Call{Organisation: "o", Key: key}, b.target("x", done))
	}
	if e.Pending() != 2 || e.Dropped() != 1 {
		t.Errorf("%d pending, %d dropped", e.Pending(), e.Dropped())
	}
	if e.Flush(t.Context()) != 0 {
		t.Error("outcomes remain after a flush")
	}
}
