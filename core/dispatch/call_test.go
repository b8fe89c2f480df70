package dispatch_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/dispatch"
	"gorseline/core/drain"
	"gorseline/core/operation"
	"gorseline/core/policy"
	"gorseline/core/retry"
	"gorseline/core/routing"
	"gorseline/core/timeline"
)

// fakeServices answers calls by address and records the addresses in order.
type fakeServices struct {
	mu     sync.Mutex
	called []string
	answer func(ctx context.Context, address string) core.ServiceResult
}

func (f *fakeServices) Call(ctx context.Context, address string, _ core.ServiceCall) core.ServiceResult {
	f.mu.Lock()
	f.called = append(f.called, address)
	f.mu.Unlock()
	return f.answer(ctx, address)
}

// fakeOperations returns a fixed result if there is one, and otherwise runs the call and
// returns its result.
type fakeOperations struct {
	result *operation.Result
	calls  []operation.Call
}

func (f *fakeOperations) Execute(ctx context.Context, call operation.Call, run func(context.Context) core.ServiceResult) operation.Result {
	f.calls = append(f.calls, call)
	if f.result != nil {
		return *f.result
	}
	r := run(ctx)
	return operation.Result{Outcome: r.Outcome, Answer: r.Answer}
}

type fixture struct {
	*dispatch.Dispatcher
	services   *fakeServices
	operations *fakeOperations
	clock      core.ClockProvider
}

func done(address string) core.ServiceResult {
	return core.ServiceResult{Outcome: core.OutcomeDone, Answer: core.ServiceAnswer{Status: 200, Body: []byte(address)}}
}

var failed = core.ServiceResult{Outcome: core.OutcomeUnknown, Err: core.ErrUnavailable}

// newFixture returns a dispatcher over three replicas of the service "books" with
// round-robin routing. burst is the size of the retry budget.
func newFixture(t *testing.T, burst float64, answer func(context.Context, string) core.ServiceResult) *fixture {
	t.Helper()
	f := &fixture{services: &fakeServices{answer: answer}, operations: &fakeOperations{}, clock: core.NewProcessClock()}
	fleet := routing.NewStore(routing.StoreOptions{})
	var targets []core.Target
	for i := range 3 {
		targets = append(targets, core.Target{
			ID: core.TargetID(fmt.Sprintf("books-%d", i)), Service: "books", Address: fmt.Sprintf("a%d", i),
		})
	}
	fleet.SetTargets(targets)
	policies := policy.NewSet(func(core.Preset) core.Placer { return nil }, 1)
	err := policies.Apply(core.Configuration{
		PresetInForce: "day", Presets: map[string]core.Preset{"day": {Name: "day", Policy: "rr"}},
		Policies: map[string]core.PolicyDocument{"rr": {Name: "rr", Type: "RoundRobin"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	options := retry.DefaultOptions()
	options.Burst = burst
	retrier := retry.NewRetrier(options, random.New(1))
	attempts := 0
	f.Dispatcher = dispatch.New(dispatch.Options{
		Policies: policies, Fleet: fleet, Services: f.services, Operations: f.operations,
		Retrier: retrier, Hedger: retry.NewHedger(retry.DefaultHedgeOptions(), retrier.Budget()),
		Circuits: dispatch.NewCircuits(fleet, f.clock, random.New(1)), Draining: drain.NewTargets(), RefreshReport: func(core.TargetID) {}, Clock: f.clock,
		Recorder:     timeline.New("test", timeline.NewClock(func() time.Duration { return time.Duration(f.clock.Now()) }), 64),
		NewAttemptID: func() core.AttemptID { attempts++; return core.AttemptID(fmt.Sprint(attempts)) },
	})
	return f
}

func (f *fixture) request(repeatable bool) *core.Request {
	now := f.clock.Now()
	return &core.Request{
		ID: "r", Organisation: "chess", Service: "books", Key: "k1", Arrived: now, Deadline: now.Add(5 * time.Second),
		Kind: core.Kind{Name: "Export", Weight: 4, Repeatable: repeatable},
	}
}

func (f *fixture) call(repeatable bool) (core.ServiceAnswer, *core.Refusal) {
	return f.Call(context.Background(), f.request(repeatable), core.ServiceCall{Method: "POST", Path: "/x"})
}

// Guards against a retry on the target that has just failed.
func TestRetryGoesToAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a replica that fails", t, func() {
			var first string
			f := newFixture(t, 10, nil)
			f.services.answer = func(_ context.Context, address string) core.ServiceResult {
				if first == "" {
					first = address
				}
				if address == first {
					return failed
				}
				return done(address)
			}
			answer, refusal := f.call(true)
			So(refusal, ShouldBeNil)
			So(string(answer.Body), ShouldNotEqual, first)
			So(len(f.services.called), ShouldEqual, 2)
			So(f.Kinds()["Export"].InTime, ShouldEqual, 1)
			So(f.Kinds()["Export"].Goodput, ShouldEqual, 4)
		})
	})
}

// Guards against a retry storm when every replica fails: the budget limits the number of
// retries.
func TestRetriesKeepToTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given replicas that all fail", t, func() {
			f := newFixture(t, 5, func(context.Context, string) core.ServiceResult { return failed })
			const calls = 50
			refusals := 0
			for range calls {
				if _, refusal := f.call(true); refusal != nil {
					refusals++
					So(refusal.RetryAfterMs, ShouldBeGreaterThan, 0)
				}
			}
			So(refusals, ShouldEqual, calls)
			So(len(f.services.called), ShouldBeLessThanOrEqualTo, calls+5+calls/10)
		})
	})
}

// Guards against a non-repeatable call that is sent again, and against a claim without the
// digest of the call.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a replica whose reply is lost", t, func() {
			f := newFixture(t, 10, func(context.Context, string) core.ServiceResult { return failed })
			_, refusal := f.call(false)
			So(len(f.services.called), ShouldEqual, 1)
			So(refusal.Kind, ShouldEqual, "OutcomeUnknown")
			So(refusal.NotRun, ShouldBeFalse)
			So(f.operations.calls[0].Key, ShouldEqual, core.OperationKey("k1"))
			So(len(f.operations.calls[0].Digest), ShouldEqual, 64)
		})
	})
}

// Guards against a claimed call that is cancelled when its caller disconnects.
func TestNonRepeatableCallOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a caller that has disconnected", t, func() {
			f := newFixture(t, 10, func(ctx context.Context, address string) core.ServiceResult {
				if ctx.Err() != nil {
					return failed
				}
				return done(address)
			})
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, refusal := f.Call(ctx, f.request(false), core.ServiceCall{Method: "POST", Path: "/x"})
			So(refusal, ShouldBeNil)
		})
	})
}

// Guards against a planner that sees only the work served: work counts as offered on
// arrival, including work that waits or is refused.
func TestTrafficCountsOfferedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a call that is still running", t, func() {
			release := make(chan struct{})
			f := newFixture(t, 10, func(_ context.Context, address string) core.ServiceResult {
				<-release
				return done(address)
			})
			go func() { _, _ = f.call(true) }()
			synctest.Wait()
			So(f.Traffic()[""].Offered, ShouldEqual, 4)
			So(f.Traffic()[""].Goodput, ShouldEqual, 0)
			close(release)
			synctest.Wait()
			So(f.Traffic()[""].Goodput, ShouldEqual, 4)
		})
	})
}

// Guards against outcomes that callers receive with a wrong status or kind.
func TestOutcomesOfOperations(t *testing.T) {
	for _, c := range []struct {
		result operation.Result
		status int
		kind   string
		notRun bool
	}{
		{operation.Result{Outcome: core.OutcomeNotRun, Reason: core.ReasonStoreUnavailable, RetryAfter: time.Second}, 503, "StoreUnavailable", true},
		{operation.Result{Outcome: core.OutcomeNotRun, Reason: operation.ReasonKeyReused}, 422, "KeyReused", true},
		{operation.Result{Outcome: core.OutcomeInProgress, RetryAfter: time.Second}, 409, "InProgress", false},
		{operation.Result{Outcome: core.OutcomeUnknown, Reason: operation.ReasonClaimantGone}, 502, "OutcomeUnknown", false},
		{operation.Result{Outcome: core.OutcomeDone, AnswerMissing: true}, 409, "AnswerMissing", false},
	} {
		Convey("Given the outcome "+c.kind, t, func() {
			f := newFixture(t, 10, nil)
			f.operations.result = &c.result
			_, refusal := f.call(false)
			So(refusal.Status, ShouldEqual, c.status)
			So(refusal.Kind, ShouldEqual, c.kind)
			So(refusal.NotRun, ShouldEqual, c.notRun)
			So(refusal.RetryAfterMs, ShouldEqual, c.result.RetryAfter.Milliseconds())
			So(refusal.Message, ShouldNotBeBlank)
		})
	}
}
