package forward

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/target"
)

// errSuperseded is the cause with which a continuation is cancelled that is no longer needed.
var errSuperseded = errors.New("the continuation is not needed")

// continuation is the request to another engine to continue a stream.
type continuation struct {
	// request is a copy of the relay's request, which the continuation changes.
	request activeRequest
	engine  *roster.Entry
	after   string
	began   time.Time
	limit   time.Duration
	cancel  func()
	// finish ends the recorded work. It must be called once.
	finish func()
	done   chan struct{}
	// answer is nil if the engine doesn't continue the stream. It is set before done is closed.
	answer *target.Answer
}

// run sends the request and waits for the header of the answer.
func (c *continuation) run() {
	defer close(c.done)
	answer, result := c.request.send(c.engine, core.Attempt{ResumeAfter: c.after}, c.limit)
	if result != sendAnswered {
		return
	}
	if !isEventStream(answer) {
		_ = answer.Close() // not a continuation of the stream
		return
	}
	c.answer = answer
}

func (c *continuation) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// isAnswered must be called after done is closed.
func (c *continuation) isAnswered() bool { return c.answer != nil }

// maxAsks bounds the engines that one request asks to continue its stream.
const maxAsks = 4

// Reasons why a stream can't be continued on another engine.
const (
	ReasonNotResumable core.Reason = "NotResumable"
	ReasonAttempts     core.Reason = "Attempts"
	ReasonSuspect      core.Reason = "Suspect"
)

// startAsk asks another engine to continue the stream after the last relayed event, or to begin it
// if none was relayed. It returns the obstacle if that isn't possible. isWaiting is true if the
// present engine may still go on, so that the lack of a retry is no loss yet and not counted.
func (s *streamRelay) startAsk(isWaiting bool) (obstacle core.Reason) {
	if s.lastID == "" && s.started {
		return ReasonNotResumable
	}
	if s.silence.asks >= maxAsks {
		return ReasonAttempts
	}
	plan := *s.activeRequest
	plan.exclude = append(slices.Clip(s.exclude), s.silence.engine.ID)
	e, chain, obstacle := plan.planContinuation(isWaiting)
	if obstacle != "" {
		return obstacle
	}
	if s.lastID == "" && !s.fits(&core.Attempt{}) {
		return ReasonLeaving // send wouldn't send it
	}
	if isWaiting && !s.hasRetries(retry.StageRun) || !s.takeRetries(RetryStream, retry.StageRun) {
		return ReasonRetryBudget
	}
	s.Log.WithFields(log.Fields{
		"Request": s.req.ID, "Target": e.ID, "Version": e.Version, "After": s.lastID, "Run": s.possibleRuns + 1,
	}).Warn("StreamResumed")
	ctx, cancel := context.WithCancelCause(s.ctx)
	ref := s.startWork(e, load.Item{Kind: load.Generate, Chain: chain})
	c := &continuation{
		request: *s.activeRequest, engine: e, after: s.lastID, began: time.Now(), limit: s.silence.limits.Notice,
		done: make(chan struct{}), cancel: func() { cancel(errSuperseded) },
		finish: func() {
			cancel(nil)
			s.finishWork(ref)
		},
	}
	c.request.ctx, c.request.exclude = ctx, plan.exclude
	s.silence.ask = c
	s.silence.asks++
	if s.silence.isNoticed {
		s.logSilence(SilenceAsked)
	}
	go c.run()
	return ""
}

// planContinuation chooses an engine that can continue the stream of the request. It returns the
// obstacle if there is none or if another run is not allowed. onlyFree excludes engines that seem
// full.
func (r *activeRequest) planContinuation(onlyFree bool) (e *roster.Entry, chain prompt.Chain, obstacle core.Reason) {
	switch {
	case !r.route.Resumable || r.engineLimits() == nil || r.req.Prompt == nil:
		return nil, nil, ReasonNotResumable
	case r.possibleRuns >= r.route.Attempts:
		return nil, nil, ReasonAttempts
	case r.mayCrashAgain():
		return nil, nil, ReasonSuspect
	case r.isOutOfTime():
		return nil, nil, ReasonTimeout
	}
	if index, ok := r.quarantinedTrait(); ok {
		return nil, nil, quarantineReason(r.traits[index].Kind)
	}
	e, chain, found := r.chooseContinuation(onlyFree)
	if !found {
		return nil, nil, core.ReasonNoTarget
	}
	return e, chain, ""
}

// adoptCounts waits for a continuation and takes over the counts of its request.
func (s *streamRelay) adoptCounts(c *continuation) {
	<-c.done
	r := &c.request
	s.sends, s.possibleRuns, s.ledger, s.wasLost = r.sends, r.possibleRuns, r.ledger, s.wasLost || r.wasLost
	s.exclude = append(s.exclude, c.engine.ID)
}

// adopt takes over a continuation as the latest send of the request.
func (s *streamRelay) adopt(c *continuation) {
	s.adoptCounts(c)
	r := &c.request
	s.silentTarget, s.lastTarget, s.lastVersion = r.silentTarget, r.lastTarget, r.lastVersion
	s.lastAttempt, s.lastResult, s.sentAt, s.statedLeaving = r.lastAttempt, r.lastResult, r.sentAt, r.statedLeaving
}

// continueElsewhere returns the answer of another engine that continues the stream. It waits for
// the engine that was asked, or asks others. The work of the continuation must be finished when the
// stream has ended.
func (s *streamRelay) continueElsewhere() (next *continuation, ok bool) {
	for s.silence.ask != nil || s.startAsk(false) == "" {
		c := s.silence.ask
		s.adopt(c)
		if c.isAnswered() {
			if s.silence.isNoticed {
				s.logSilence(SilenceMoved)
			}
			return c, true
		}
		if s.silence.isNoticed {
			s.logSilence(SilenceRefused)
		}
		s.silence.ask = nil
		c.finish()
	}
	s.logNotResumed()
	return nil, false
}

// hasRetries reports whether the retries that are due before the next send are left.
func (r *activeRequest) hasRetries(stage retry.Stage) bool {
	due := r.ledger.Due(stage)
	return due == 0 || r.Budgets.State(r.service).Left >= float64(due)
}

// canSendElsewhere reports whether the request could be sent to another target if the current send
// to e got no answer. While e may only pause, another one must meet the objective: it may refuse.
func (r *activeRequest) canSendElsewhere(e *roster.Entry, a *core.Attempt, mayPause bool) bool {
	next := *r
	next.exclude = append(slices.Clip(r.exclude), e.ID)
	next.ledger.Record(stageOf(a), retry.SendUnknown)
	if !a.PrefillOnly {
		next.possibleRuns++
	}
	switch {
	case r.ctx.Err() != nil || !next.mayRunAgain():
		return false
	case a.ResumeAfter != "":
		_, _, obstacle := next.planContinuation(true)
		return obstacle == "" && next.hasRetries(retry.StageRun)
	case next.sends >= maxSends:
		return false
	case r.req.Prompt != nil && r.engineLimits() != nil:
		req := next.promptRequest(prompt.NewChain(r.req.Prompt))
		if mayPause {
			req.Objective = r.firstEventObjective()
		}
		return next.hasRetries(retry.StageCompute) && r.Assigner.CanAssign(r.Clock.Now(), r.Roster.View(), req)
	default:
		return next.hasRetries(retry.StageRun) && next.chooseCall().Target != nil
	}
}

// promptRequest returns the request for an engine that computes the prompt. The objective applies to
// the first send: after a silent engine it has usually passed, and would rule out all others.
func (r *activeRequest) promptRequest(chain prompt.Chain) *assign.Request {
	objective := r.firstEventObjective()
	if r.sends > 0 {
		objective = r.remaining()
	}
	return &assign.Request{
		Service: r.service, Route: r.route.Name, Engine: r.engineLimits(), Prompt: r.req.Prompt, Chain: chain,
		Objective: objective, Remaining: r.remaining(), Exclude: r.exclude,
		Version: r.version,
	}
}
