package forward

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/roster"
	"gorseline/io/target"
)

const (
	// slowFactor and slowExtra bound the wait for a prefill: beyond the expected time
	// several times over, the engine is stalled and the prompt goes elsewhere.
	slowFactor = 4
	slowExtra  = 250 * time.Millisecond
)

// servePrompt forwards a request whose prompt engines compute.
func (r *run) servePrompt() {
	chain := prompt.NewChain(r.req.Prompt)
	for {
		req := &assign.Request{
			Service: r.service, Route: r.route.Name, Engine: r.engine(), Prompt: r.req.Prompt, Chain: chain,
			Objective: r.objective(), Remaining: r.remaining(), Exclude: r.exclude,
		}
		d := r.Assigner.Assign(r.Clock.Now(), r.Roster.View(), req)
		r.logPrompt(&d)
		if d.Target == nil {
			r.giveUp(d.Reason, d.RetryAfter)
			return
		}
		var done bool
		if d.Kind == load.Prefill {
			done = r.inTwoStages(&d, req)
		} else {
			done = r.inOneStage(&d, req)
		}
		if done || !r.tryAgain() {
			return
		}
	}
}

// inTwoStages has the prompt computed on one engine and imported by another. It returns
// false if another way may be tried.
func (r *run) inTwoStages(d *assign.Decision, req *assign.Request) (done bool) {
	began := r.Clock.Now()
	handle, ok := r.prefill(d, req)
	r.prefilled = r.Clock.Now().Sub(began)
	if !ok {
		r.exclude = append(r.exclude, d.Target.ID)
		return false
	}
	req.Exclude = r.exclude
	generator, ok := r.Assigner.AssignGenerator(r.Clock.Now(), r.Roster.View(), req, d.Target)
	if !ok {
		r.release(d.Target, handle)
		r.giveUp(core.ReasonNoTarget, r.remaining()/4)
		return true
	}
	source := core.CacheSource{Address: d.Target.Address, Handle: handle}
	began = r.Clock.Now()
	ref := r.start(generator, load.Item{Kind: load.Generate, Chain: req.Chain})
	defer r.finish(ref)
	answer, result := r.send(generator, core.Attempt{Source: source}, r.generateLimit(d))
	if result != sendAnswered {
		r.exclude = append(r.exclude, generator.ID)
		r.release(d.Target, handle)
		return false
	}
	isLocal := generator.DataCentre == d.Target.DataCentre
	r.imported = r.Clock.Now().Sub(began)
	r.Assigner.ObserveHandover(req, isLocal, r.imported)
	done = r.answer(generator, answer)
	r.Assigner.ObserveSlotTime(req, r.Clock.Now().Sub(began))
	return done
}

// generateLimit is how long to wait for the first event. A stream that may run again is
// tried elsewhere when it stalls.
func (r *run) generateLimit(d *assign.Decision) time.Duration {
	if !r.route.Repeatable() || r.runs+1 >= r.route.Attempts {
		return r.remaining()
	}
	return max(slowFactor*d.Expected+slowExtra, r.remaining()/4)
}

// prefill has the prompt computed and returns the handle of its KV cache.
func (r *run) prefill(d *assign.Decision, req *assign.Request) (handle string, ok bool) {
	ref := r.start(d.Target, promptItem(d, req))
	defer r.finish(ref)
	began := r.Clock.Now()
	limit := slowFactor*d.Expected + slowExtra
	attempt := core.Attempt{PrefillOnly: true, FetchFrom: fetchFrom(d)}
	answer, result := r.send(d.Target, attempt, limit)
	if result != sendAnswered {
		return "", false
	}
	handle, err := r.readHandle(answer)
	now := r.Clock.Now()
	r.judge(d.Target, err != nil)
	if err != nil {
		r.logAttempt(d.Target, &attempt, "Failed", answer.Status, err)
		return "", false
	}
	r.Assigner.ObserveRemoteWait(now, d.Target, now.Sub(began)-d.ComputeTime)
	if took, known := r.Board.Computed(now, ref); known {
		r.Assigner.ObservePrompt(r.service, load.Prefill, d.Work, computing(took, d))
	}
	return handle, true
}

// inOneStage sends the request to an engine that computes the prompt itself.
func (r *run) inOneStage(d *assign.Decision, req *assign.Request) (done bool) {
	e := d.Target
	began := r.Clock.Now()
	ref := r.start(e, promptItem(d, req))
	defer r.finish(ref)
	answer, result := r.send(e, core.Attempt{FetchFrom: fetchFrom(d)}, r.generateLimit(d))
	if result != sendAnswered {
		r.exclude = append(r.exclude, e.ID)
		return false
	}
	if took, known := r.Board.Computed(r.Clock.Now(), ref); known {
		r.Assigner.ObservePrompt(r.service, load.Whole, d.Work, computing(took, d))
	}
	r.Publisher.Computed(ref)
	done = r.answer(e, answer)
	r.Assigner.ObserveSlotTime(req, r.Clock.Now().Sub(began))
	return done
}

// computing returns the part of a prompt's time that was not spent on fetching. A transfer
// that was faster than expected must not make the computing look free.
func computing(took time.Duration, d *assign.Decision) time.Duration {
	return max(took-d.FetchTime, took/2)
}

// fetchFrom returns the address from which the target of a decision fetches parts of the
// prompt.
func fetchFrom(d *assign.Decision) string {
	if d.FetchSource == nil {
		return ""
	}
	return d.FetchSource.Address
}

// answer relays the answer of the engine that generates.
func (r *run) answer(e *roster.Entry, answer *target.Answer) (done bool) {
	failed := answer.Status >= http.StatusInternalServerError
	r.judge(e, failed)
	if failed && r.mayRunAgain() {
		drain(answer)
		r.exclude = append(r.exclude, e.ID)
		r.logAttempt(e, &core.Attempt{}, "Failed", answer.Status, nil)
		return false
	}
	if isEventStream(answer) {
		return r.relayStream(e, answer)
	}
	return r.relay(answer)
}

// promptItem returns the item of a prompt for the board.
func promptItem(d *assign.Decision, req *assign.Request) load.Item {
	return load.Item{Kind: d.Kind, Compute: d.ComputeTime, Chain: req.Chain}
}

// start notes work on the board and tells peers.
func (r *run) start(e *roster.Entry, item load.Item) load.Ref {
	item.Ref = r.Assigner.LoadRef(e, r.key())
	r.Board.Sent(r.Clock.Now(), item)
	r.Publisher.Sent(item)
	return item.Ref
}

// finish notes the end of work.
func (r *run) finish(ref load.Ref) {
	r.Board.Finished(r.Clock.Now(), ref)
	r.Publisher.Finished(ref)
}

func (r *run) logPrompt(d *assign.Decision) {
	fields := log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Reason": d.Reason,
		"Tokens": r.req.Prompt.Tokens, "Held": d.CachedTokens, "ComputeMs": d.ComputeTime.Milliseconds(),
		"BacklogMs": d.Backlog.Milliseconds(), "ExpectedMs": d.Expected.Milliseconds(),
		"LimitMs": d.Limit.Milliseconds(), "Candidates": d.Candidates, "Returned": r.returned,
		"Roster": r.Roster.View().Version, "LeftMs": r.remaining().Milliseconds(),
	}
	if d.FetchSource != nil {
		fields["Fetch"], fields["TransferMs"] = d.FetchSource.ID, d.FetchTime.Milliseconds()
	}
	if d.Target == nil {
		fields["RetryAfterMs"] = d.RetryAfter.Milliseconds()
		r.Log.WithFields(fields).Warn("RequestRefused")
		return
	}
	fields["Target"], fields["Kind"] = d.Target.ID, d.Kind
	r.Log.WithFields(fields).Info("RequestAssigned")
}
