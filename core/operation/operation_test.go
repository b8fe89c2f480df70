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

// Guards against the outcome "not run" for a claim that may exist, against a run without a
// durable claim, against a second run, and against an outcome that a later lookup
// contradicts. These can come about when replies of the table are lost.
func TestOutcomesUnderLostReplies(t *testing.T) {
	for _, c := range []struct {
		name   string
		script string // results of the transactions: attempts of the claim, then of the outcome
		target core.OutcomeKind
		want   core.OutcomeKind
		reason core.Reason
		runs   int32
		lookup core.OutcomeKind // after the pending outcomes were flushed
	}{
		{"no fault", "ok ok", done, done, "", 1, done},
		{"claim refused", "refused", done, notRun, core.ReasonStoreUnavailable, 0, unknown},
		{"claim's reply lost", "replylost ok ok", done, done, "", 1, done},
		{"claim lost and sent again", "lost ok ok", done, done, "", 1, done},
		{"claim lost, then refused, then settled", "lost refused ok ok", done, done, "", 1, done},
		{"claim's reply lost in an outage", "replylost" + strings.Repeat(" refused", 60), done, unknown, operation.ReasonClaimUnsettled, 0, notRun},
		{"claim lost in an outage", "lost" + strings.Repeat(" refused", 60), done, unknown, operation.ReasonClaimUnsettled, 0, notRun},
		{"target not reached", "ok ok", notRun, notRun, operation.ReasonTargetNotReached, 0, notRun},
		{"withdrawal's reply lost", "ok replylost", notRun, notRun, operation.ReasonTargetNotReached, 0, notRun},
		{"withdrawal refused in an outage", "ok" + strings.Repeat(" refused", 60), notRun, unknown, operation.ReasonClaimUnsettled, 0, notRun},
		{"connection failed", "ok ok", unknown, unknown, operation.ReasonConnectionFailed, 1, unknown},
		{"answer not recorded at once", "ok refused", done, done, "", 1, done},
		{"outcome's reply lost", "ok replylost", done, done, "", 1, done},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(strings.Fields(c.script)...)
				got := f.execute(t, f.Executor, "answer", c.target)
				if got.Outcome != c.want || got.Reason != c.reason || f.runs.Load() != c.runs {
					t.Errorf("got %+v after %d runs", got, f.runs.Load())
				}
				if again := f.execute(t, f.executor("b"), "second", done); c.runs == 1 && (again.Outcome == notRun || f.runs.Load() > 1) {
					t.Errorf("repeat of the key: %+v after %d runs", again, f.runs.Load())
				}
				if c.name == "claim refused" {
					return // the repeat has run
				}
				f.table.script = nil
				for range 3 {
					f.Flush(t.Context())
				}
				if later := f.lookup(t); later.Outcome != c.lookup && f.runs.Load() == c.runs {
					t.Errorf("later lookup: %+v", later)
				}
			})
		})
	}
}

// Guards against a repeated key that runs again or gets another answer, and against a key
// that is accepted for a different request.
func TestRepeatOfKey(t *testing.T) {
	f := newFixture()
	f.execute(t, f.Executor, "first", done)
	again := f.execute(t, f.executor("b"), "second", done)
	if again.Outcome != done || !again.Repeated || string(again.Answer.Body) != "first" || f.runs.Load() != 1 {
		t.Errorf("repeat: %+v after %d runs", again, f.runs.Load())
	}
	other := testCall
	other.Digest = "e"
	if got := f.Execute(t.Context(), other, f.target("third", done)); got.Outcome != notRun || got.Reason != operation.ReasonKeyReused {
		t.Errorf("other digest: %+v", got)
	}
}

// Guards against a second instance that takes over the claim of a claimant that is dead or
// paused for minutes, and against a claimant that still sends its call after its deadline.
func TestPausedClaimant(t *testing.T) {
	for _, inRun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			slow := f.executor("slow")
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if !inRun {
				// The deadline must pass before Execute starts: a concurrent cancel might come
				// after the call has ended.
				cancel()
			}
			ended := make(chan operation.Result, 1)
			go func() {
				ended <- slow.Execute(ctx, testCall, func(ctx context.Context) core.ServiceResult {
					if inRun {
						time.Sleep(5 * time.Minute)
					}
					return f.target("slow", done)(ctx)
				})
			}()
			synctest.Wait()
			meanwhile := f.execute(t, f.Executor, "second", done)
			got := <-ended
			if inRun && (meanwhile.Outcome != unknown || got.Outcome != done || f.runs.Load() != 1) {
				t.Errorf("paused while sending: meanwhile %+v, then %+v, %d runs", meanwhile, got, f.runs.Load())
			}
			if !inRun && (got.Outcome != notRun || f.runs.Load() > 1) {
				t.Errorf("paused before sending: meanwhile %+v, then %+v, %d runs", meanwhile, got, f.runs.Load())
			}
		})
	}
}

// Guards against a large answer that doesn't reach its caller, that is stored in a row, or
// that is reported as recorded when it is not.
func TestLargeAnswers(t *testing.T) {
	for _, down := range []bool{false, true} {
		f := newFixture()
		f.objects.down = down
		body := strings.Repeat("x", operation.MaxInlineAnswer+1)
		if got := f.execute(t, f.Executor, body, done); got.Outcome != done || len(got.Answer.Body) != len(body) {
			t.Errorf("object store down %v: caller got %d bytes, %v", down, len(got.Answer.Body), got.Outcome)
		}
		got := f.lookup(t)
		if got.Outcome != done || got.AnswerMissing != down || !down && string(got.Answer.Body) != body {
			t.Errorf("object store down %v: lookup %v, missing %v", down, got.Outcome, got.AnswerMissing)
		}
		for _, row := range f.table.rows {
			if len(row.Value) > operation.MaxInlineAnswer {
				t.Errorf("row of %d bytes", len(row.Value))
			}
		}
	}
}

// Guards against an automatic second call to a target that would run it twice. Also guards
// against the outcome "not run" when a later attempt was not sent but an earlier one may
// have run.
func TestOnlyDeduplicatingTargetsAreRetried(t *testing.T) {
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
		f := newFixture()
		call := testCall
		call.Deduplicates = c.deduplicates
		if got := f.Execute(t.Context(), call, f.target("x", c.outcomes...)); got.Outcome != c.want {
			t.Errorf("%v: got %v, want %v", c.outcomes, got.Outcome, c.want)
		}
	}
}

// Guards against a queue of pending outcomes that grows without bound in a long outage.
func TestPendingIsBounded(t *testing.T) {
	f := newFixture()
	opts := operation.DefaultOptions()
	opts.Table, opts.Clock, opts.Recorder, opts.MaxPending = f.table, core.NewDeadlineClock(), discard{}, 2
	serial := 0
	opts.NewAttemptID = func() core.AttemptID {
		serial++
		return core.AttemptID(strings.Repeat("i", serial))
	}
	e := operation.New(opts)
	for _, key := range []core.OperationKey{"1", "2", "3"} {
		f.table.script = []string{"ok", "refused"}
		e.Execute(t.Context(), operation.Call{Organisation: "o", Key: key}, f.target("x", done))
	}
	if e.Pending() != 2 || e.Dropped() != 1 {
		t.Errorf("%d pending, %d dropped", e.Pending(), e.Dropped())
	}
	if e.Flush(t.Context()) != 0 {
		t.Error("outcomes remain after a flush")
	}
}
