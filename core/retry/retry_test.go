package retry_test

import (
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/retry"
)

// Guards against a budget that deviates from its definition: attempts never exceed the burst
// plus the ratio of the requests, and an attempt within the budget is never refused.
func TestBudgetEqualsCounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retry.NewBudget(0.25, 3)
		quarters := 12 // reference model: the tokens in whole quarters
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "action") > 0 {
				budget.Deposit()
				quarters = min(12, quarters+1)
				continue
			}
			want := quarters >= 4
			if want {
				quarters -= 4
			}
			if got := budget.Withdraw(); got != want {
				t.Fatalf("got %v with %d quarters", got, quarters)
			}
		}
	})
}

// Guards against retries of non-repeatable calls that may have run, against retries without
// time left, and against a wrong reason in the verdict.
func TestRetryNeedsARepeatableRequestInTime(t *testing.T) {
	once := core.Request{Kind: core.Kind{Name: "Grant"}, Deadline: core.Instant(time.Second)}
	repeatable := once
	repeatable.Kind.Repeatable = true
	cases := []struct {
		name    string
		req     core.Request
		failure retry.Failure
		want    retry.Reason
	}{
		{"may have run", once, retry.Failure{Attempt: 1}, retry.ReasonNotRepeatable},
		{"not run", once, retry.Failure{Attempt: 1, NotRun: true}, ""},
		{"repeatable", repeatable, retry.Failure{Attempt: 1}, ""},
		{"delivered", repeatable, retry.Failure{Attempt: 1, Delivered: true}, retry.ReasonDelivered},
		{"third", repeatable, retry.Failure{Attempt: 3}, retry.ReasonAttempts},
		{"late", repeatable, retry.Failure{Attempt: 1, Expected: time.Second + 1}, retry.ReasonDeadline},
	}
	for _, c := range cases {
		got := retry.NewRetrier(retry.DefaultOptions(), random.New(7)).Next(0, &c.req, c.failure)
		if got.Reason != c.want || got.Retry != (c.want == "") || got.Delay > 25*time.Millisecond {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against a retry storm when all targets of one of four data centres fail: retries
// stay within the budgeted tenth of the requests, and the breakers keep nearly all
// requests off the lost targets.
func TestLostDataCentreCausesNoRetryStorm(t *testing.T) {
	const targets, perSecond, seconds = 16, 500, 30
	source := rand.New(rand.NewSource(7))
	retrier := retry.NewRetrier(retry.DefaultOptions(), random.New(7))
	breakers := make([]*retry.Breaker, targets)
	for i := range breakers {
		breakers[i] = retry.NewBreaker(retry.DefaultBreakerOptions())
	}
	requests, retried, toLost := 0, 0, 0
	for i := range perSecond * seconds {
		now := core.Instant(i) * core.Instant(time.Second/perSecond)
		req := &core.Request{Kind: core.Kind{Repeatable: true}, Deadline: now.Add(2 * time.Second)}
		retrier.CountRequest()
		requests++
		for attempt := 1; ; attempt++ {
			target := source.Intn(targets)
			for !breakers[target].Allow(now) {
				target = source.Intn(targets)
			}
			if target >= targets/4 {
				breakers[target].RecordSuccess(now)
				break
			}
			toLost++
			breakers[target].RecordFailure(now, source.Float64())
			if !retrier.Next(now, req, retry.Failure{Attempt: attempt}).Retry {
				break
			}
			retried++
		}
	}
	if limit := requests/10 + 10; retried > limit {
		t.Errorf("%d retries of %d requests, the budget allows %d", retried, requests, limit)
	}
	// Each lost target gets the failures that open its circuit and, as the open time
	// doubles from 1 s, at most five probes in 30 s.
	if limit := targets / 4 * (retry.DefaultBreakerOptions().ConsecutiveFailures + 5); toLost > limit {
		t.Errorf("%d attempts went to the lost targets, want at most %d", toLost, limit)
	}
}

// Guards against traffic that multiplies when all targets are lost: attempts stay within
// the budget without a breaker and with every attempt failing.
func TestLossOfAllTargetsStaysWithinBudget(t *testing.T) {
	retrier := retry.NewRetrier(retry.DefaultOptions(), random.New(7))
	attempts := 0
	for range 10_000 {
		retrier.CountRequest()
		req := &core.Request{Kind: core.Kind{Repeatable: true}, Deadline: core.Instant(time.Minute)}
		for attempt := 1; ; attempt++ {
			attempts++
			if !retrier.Next(0, req, retry.Failure{Attempt: attempt}).Retry {
				break
			}
		}
	}
	if attempts > 11_010 {
		t.Errorf("%d attempts for 10,000 requests", attempts)
	}
}

// Guards against a breaker that stays open after a recovery, that allows more than one
// probe, or that is closed by an attempt that started before it opened.
func TestBreakerOpensProbesAndCloses(t *testing.T) {
	options := retry.DefaultBreakerOptions()
	b := retry.NewBreaker(options)
	at := func(d time.Duration) core.Instant { return core.Instant(d) }
	for range options.ConsecutiveFailures {
		if !b.Allow(0) {
			t.Fatal("closed breaker refused an attempt")
		}
		b.RecordFailure(0, 0)
	}
	b.RecordSuccess(0)
	if b.Allow(at(options.OpenTime-1)) || b.Ready(0) || b.State() != retry.CircuitOpen {
		t.Error("open breaker allowed an attempt")
	}
	if !b.Ready(at(options.OpenTime)) || !b.Allow(at(options.OpenTime)) || b.Allow(at(options.OpenTime)) {
		t.Error("not exactly one probe after the open time")
	}
	b.RecordFailure(at(options.OpenTime), 0)
	if b.Allow(at(3*options.OpenTime-1)) || !b.Allow(at(3*options.OpenTime)) {
		t.Error("a failed probe did not double the open time")
	}
	// A probe without a result is replaced.
	if b.Allow(at(5*options.OpenTime-1)) || !b.Allow(at(5*options.OpenTime)) {
		t.Error("a lost probe blocks the circuit")
	}
	b.RecordSuccess(at(5 * options.OpenTime))
	if !b.Allow(at(5*options.OpenTime)) || b.State() != retry.CircuitClosed {
		t.Error("a successful probe did not close the circuit")
	}
	// Half of the attempts fail, never five in a row.
	for i := range 40 {
		if i%2 == 0 {
			b.RecordFailure(at(time.Minute), 0)
		} else {
			b.RecordSuccess(at(time.Minute))
		}
	}
	if b.State() != retry.CircuitOpen {
		t.Error("a failure share of a half did not open the circuit")
	}
}

// Guards against hedges of calls that must run once or are long, and of more calls than the
// slowest few.
func TestOnlySlowShortRepeatableCallsAreHedged(t *testing.T) {
	budget := retry.NewBudget(0.1, 1)
	hedger := retry.NewHedger(retry.DefaultHedgeOptions(), budget)
	req := &core.Request{Kind: core.Kind{Name: "Lookup", Repeatable: true}, Deadline: core.Instant(time.Second)}
	if _, ok := hedger.Delay(req, time.Millisecond); ok {
		t.Error("hedged without observations")
	}
	for i := range 2500 {
		hedger.Observe("Lookup", time.Duration(i%100+1)*time.Millisecond)
	}
	delay, ok := hedger.Delay(req, 50*time.Millisecond)
	if !ok || delay < 93*time.Millisecond || delay > 97*time.Millisecond {
		t.Errorf("delay %v, want about 95ms", delay)
	}
	if _, ok := hedger.Delay(req, time.Second); ok {
		t.Error("a long call is hedged")
	}
	once := *req
	once.Kind.Repeatable = false
	if _, ok := hedger.Delay(&once, time.Millisecond); ok {
		t.Error("a call that must run once is hedged")
	}
	if !hedger.Allow(0, req) || hedger.Allow(0, req) || hedger.Allow(core.Instant(time.Hour), req) {
		t.Error("hedges ignore the budget or the deadline")
	}
}
