package forward

import (
	"math"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/retry"
)

// RetryCause is the reason why a request is sent beyond its first send.
type RetryCause string

// Causes of retries.
const (
	// RetryRefused follows a send that the target did not run.
	RetryRefused RetryCause = "Refused"
	// RetryNoAnswer follows a send without an answer.
	RetryNoAnswer RetryCause = "NoAnswer"
	// RetryFailed follows a failure answer or an answer that ended early.
	RetryFailed RetryCause = "Failed"
	// RetryComputation is the second or a later computation of a prompt.
	RetryComputation RetryCause = "Computation"
	// RetryImport follows a refusal to import a KV cache, which another engine imports.
	RetryImport RetryCause = "Import"
	// RetryDetour sends the request through another instance.
	RetryDetour RetryCause = "Detour"
	// RetryStream continues a broken stream on another engine.
	RetryStream RetryCause = "Stream"
)

// takeRetries takes the retries that are due before the next send from the budget of the service.
// It returns false if too few are left. It logs and counts the decision, so that the retries of
// all instances can be added up.
func (r *activeRequest) takeRetries(cause RetryCause, stage retry.Stage) bool {
	due := r.ledger.Due(stage)
	if due == 0 {
		return true
	}
	ok, event := r.Budgets.Withdraw(r.service, due), "RetryDenied"
	if ok {
		r.ledger.Take(due)
		event = "RetryTaken"
	}
	state := r.Budgets.State(r.service)
	r.Log.WithFields(log.Fields{
		"Request": r.req.ID, "Service": r.service, "Cause": string(cause), "Retries": due, "Sends": r.sends,
		"Left": math.Round(100*state.Left) / 100, "Share": math.Round(100*state.Share) / 100, "Instances": state.Instances,
	}).Warn(event)
	r.Observer.ObserveRetry(r.service, cause, due, ok, state)
	return ok
}

// retryCause returns the cause of a retry by the result of the latest send.
func (r *activeRequest) retryCause() RetryCause {
	switch r.lastResult {
	case sendNotRun:
		return RetryRefused
	case sendUnknown:
		return RetryNoAnswer
	default:
		return RetryFailed
	}
}

// recordSend records a send in the ledger of the request.
func (r *activeRequest) recordSend(a *core.Attempt, result retry.SendResult) {
	r.ledger.Record(stageOf(a), result)
}

func stageOf(a *core.Attempt) retry.Stage {
	if a.PrefillOnly {
		return retry.StageCompute
	}
	return retry.StageRun
}
