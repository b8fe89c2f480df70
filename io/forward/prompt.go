package forward

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/load"
	"gorseline/core/prompt"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/target"
)

const (
	// An engine counts as stalled after stallFactor times the expected time plus
	// stallMargin. The prompt is then sent to another engine.
	stallFactor = 4
	stallMargin = 250 * time.Millisecond
)

// servePrompt forwards a request whose prompt is computed by engines.
func (r *activeRequest) servePrompt() {
	chain := prompt.NewChain(r.req.Prompt)
	for {
		req := r.promptRequest(chain)
		d := r.Assigner.Assign(r.Clock.Now(), r.Roster.View(), req)
		r.logPrompt(&d)
		if d.Target == nil {
			r.failWithoutTarget(r.limitRefusal(d.Reason, d.RetryAfter))
			return
		}
		var done bool
		if d.Kind == load.Prefill {
			if !r.takeRetries(RetryComputation, retry.StageCompute) {
				r.fail(ReasonRetryBudget)
				return
			}
			done = r.serveTwoStages(&d, req)
		} else {
			done = r.serveOneStage(&d, req)
		}
		if done || !r.allowRetry(r.retryCause()) {
			return
		}
	}
}

// serveTwoStages computes the prompt on one engine and generates on another, which imports
// the KV cache. It returns false if the request has not been answered and may be retried.
func (r *activeRequest) serveTwoStages(d *assign.Decision, req *assign.Request) (done bool) {
	began := r.Clock.Now()
	handle, ok := r.prefill(d, req)
	if !ok {
		r.exclude = append(r.exclude, d.Target.ID)
		return false
	}
	r.prefillTime = r.Clock.Now().Sub(began)
	g, done, ok := r.importPrompt(d, req, core.CacheSource{Address: d.Target.Address, Handle: handle})
	if !ok {
		r.releaseExport(d.Target, handle)
		return done
	}
	defer r.finishWork(g.ref)
	isLocal := g.engine.DataCentre == d.Target.DataCentre
	r.importTime = r.Clock.Now().Sub(g.began)
	r.Assigner.ObserveHandover(req, isLocal, r.importTime)
	done = r.relayEngineAnswer(g.engine, g.answer)
	r.Assigner.ObserveSlotTime(req, r.Clock.Now().Sub(g.began))
	return done
}

// generation is the answer of an engine that imported a prompt's KV cache.
type generation struct {
	engine *roster.Entry
	answer *target.Answer
	ref    load.Ref
	began  core.Instant
}

// maxImports is the number of engines that are asked to import the same KV cache. A refusal by
// two of them suggests that the cache itself can't be fetched.
const maxImports = 2

// importPrompt sends the request to an engine that imports the KV cache from source. If it
// refuses, another engine imports the same cache, so that the prompt isn't computed again. ok is
// false without an answer; done then reports that the request was ended.
func (r *activeRequest) importPrompt(d *assign.Decision, req *assign.Request, source core.CacheSource) (g generation, done, ok bool) {
	for imports := 1; ; imports++ {
		req.Exclude = r.exclude
		engine, found := r.Assigner.AssignGenerator(r.Clock.Now(), r.Roster.View(), req, d.Target)
		if !found {
			r.failWithoutTarget(r.limitRefusal(core.ReasonNoTarget, r.remaining()/4))
			return generation{}, true, false
		}
		g = generation{engine: engine, began: r.Clock.Now()}
		g.ref = r.startWork(engine, load.Item{Kind: load.Generate, Chain: req.Chain})
		answer, result := r.send(engine, core.Attempt{Source: source}, r.generateTimeout(d))
		if result == sendAnswered {
			g.answer = answer
			return g, false, true
		}
		r.finishWork(g.ref)
		r.exclude = append(r.exclude, engine.ID)
		if result != sendNotRun || imports == maxImports {
			return generation{}, false, false
		}
		if !r.allowRetry(RetryImport) {
			return generation{}, true, false
		}
	}
}

// generateTimeout returns how long to wait for the header of the answer of an engine that
// generates. A request that may run again is retried on another engine when it stalls.
func (r *activeRequest) generateTimeout(d *assign.Decision) time.Duration {
	if !r.route.Repeatable() || r.possibleRuns+1 >= r.route.Attempts {
		return r.remaining()
	}
	return max(stallFactor*d.Expected+stallMargin, r.remaining()/4)
}

// prefill computes the prompt on the chosen engine and returns the handle of the exported
// KV cache.
func (r *activeRequest) prefill(d *assign.Decision, req *assign.Request) (handle string, ok bool) {
	ref := r.startWork(d.Target, promptLoad(d, req))
	defer r.finishWork(ref)
	began := r.Clock.Now()
	limit := stallFactor*d.Expected + stallMargin
	attempt := core.Attempt{PrefillOnly: true, FetchFrom: fetchFrom(d)}
	answer, result := r.send(d.Target, attempt, limit)
	if result != sendAnswered {
		return "", false
	}
	handle, err := r.readCacheHandle(answer)
	now := r.Clock.Now()
	r.recordAnswer(d.Target, err != nil)
	if err != nil {
		r.recordBroken(d.Target, err)
		r.logAttempt(d.Target, "Failed", answer.Status, err)
		return "", false
	}
	r.Assigner.ObserveRemoteWait(now, d.Target, now.Sub(began)-d.ComputeTime)
	if took, known := r.Loads.Computed(now, ref); known {
		r.Assigner.ObservePrompt(r.service, load.Prefill, d.Work, computeTime(took, d))
	}
	r.Publisher.Computed(ref)
	return handle, true
}

// serveOneStage sends the request to an engine that computes the prompt and generates. It
// returns false if the request has not been answered and may be retried.
func (r *activeRequest) serveOneStage(d *assign.Decision, req *assign.Request) (done bool) {
	e := d.Target
	began := r.Clock.Now()
	ref := r.startWork(e, promptLoad(d, req))
	defer r.finishWork(ref)
	answer, result := r.send(e, core.Attempt{FetchFrom: fetchFrom(d)}, r.generateTimeout(d))
	if result != sendAnswered {
		r.exclude = append(r.exclude, e.ID)
		return false
	}
	if took, known := r.Loads.Computed(r.Clock.Now(), ref); known {
		r.Assigner.ObservePrompt(r.service, load.Whole, d.Work, computeTime(took, d))
	}
	r.Publisher.Computed(ref)
	done = r.relayEngineAnswer(e, answer)
	r.Assigner.ObserveSlotTime(req, r.Clock.Now().Sub(began))
	return done
}

// computeTime returns the part of took that was spent on computing the prompt: took less
// the expected transfer time, but at least half of took, so that a transfer that is faster
// than expected doesn't make the computation look free.
func computeTime(took time.Duration, d *assign.Decision) time.Duration {
	return max(took-d.FetchTime, took/2)
}

// fetchFrom returns the address of the engine from which the target of a decision fetches
// KV cache, or "" if it fetches none.
func fetchFrom(d *assign.Decision) string {
	if d.FetchSource == nil {
		return ""
	}
	return d.FetchSource.Address
}

// relayEngineAnswer relays the answer of the engine that generates. It returns false if
// the request has not been answered and may be retried.
func (r *activeRequest) relayEngineAnswer(e *roster.Entry, answer *target.Answer) (done bool) {
	failed := answer.Status >= http.StatusInternalServerError
	r.recordAnswer(e, failed)
	if failed && r.mayRunAgain() && r.fits(&core.Attempt{}) {
		r.Quarantine.RecordStopped(r.runAt(e))
		discardBody(answer)
		r.exclude = append(r.exclude, e.ID)
		r.logAttempt(e, "Failed", answer.Status, nil)
		return false
	}
	if isEventStream(answer) {
		return r.relayStream(e, answer)
	}
	return r.relayAnswer(e, answer)
}

// promptLoad returns the load item of the prompt of an assigned request.
func promptLoad(d *assign.Decision, req *assign.Request) load.Item {
	return load.Item{Kind: d.Kind, ComputeTime: d.ComputeTime, Chain: req.Chain}
}

// startWork records work in the load tracker and publishes it.
func (r *activeRequest) startWork(e *roster.Entry, item load.Item) load.Ref {
	item.Ref = r.Assigner.LoadRef(e, r.nextLoadKey())
	r.Loads.Sent(r.Clock.Now(), item)
	r.Publisher.Sent(item)
	return item.Ref
}

// finishWork removes work from the load tracker and publishes its end.
func (r *activeRequest) finishWork(ref load.Ref) {
	r.Loads.Finished(r.Clock.Now(), ref)
	r.Publisher.Finished(ref)
}

func (r *activeRequest) logPrompt(d *assign.Decision) {
	fields := log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Reason": d.Reason,
		"Tokens": r.req.Prompt.Tokens, "Held": d.CachedTokens, "ComputeMs": d.ComputeTime.Milliseconds(),
		"BacklogMs": d.Backlog.Milliseconds(), "ExpectedMs": d.Expected.Milliseconds(),
		"LimitMs": d.Limit.Milliseconds(), "Candidates": d.Candidates, "Returned": r.refusedBefore,
		"Roster": r.Roster.View().Version, "LeftMs": r.remaining().Milliseconds(),
	}
	if d.FetchSource != nil {
		fields["FetchVersion"] = d.FetchSource.Version
		fields["Fetch"], fields["TransferMs"] = d.FetchSource.ID, d.FetchTime.Milliseconds()
	}
	r.addContinuation(fields)
	if d.Target == nil {
		fields["RetryAfterMs"] = d.RetryAfter.Milliseconds()
		r.Log.WithFields(fields).Warn("RequestRefused")
		return
	}
	fields["Target"], fields["Version"], fields["Kind"] = d.Target.ID, d.Target.Version, d.Kind
	r.Log.WithFields(fields).Info("RequestAssigned")
}
