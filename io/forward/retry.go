package forward

import (
	"math"

	"github.com/apex/log"
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
	// RetryStream continues a broken stream on another engine.
	RetryStream RetryCause = "Stream"
)

// withdraw takes one retry from the budget of the service. It logs and counts the decision, so
// that the retries of all instances can be added up.
func (r *activeRequest) withdraw(cause RetryCause) bool {
	ok := r.Budgets.Withdraw(r.service)
	state := r.Budgets.State(r.service)
	event := "RetryTaken"
	if !ok {
		event = "RetryDenied"
	}
	r.Log.WithFields(log.Fields{
		"Request": r.req.ID, "Service": r.service, "Cause": string(cause), "Sends": r.sends,
		"Left": math.Round(100*state.Left) / 100, "Share": math.Round(100*state.Share) / 100, "Instances": state.Instances,
	}).Warn(event)
	r.Observer.ObserveRetry(r.service, cause, ok, state)
	return ok
}
