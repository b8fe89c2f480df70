package commands

import (
	"context"

	"gorseline/core"
	"gorseline/core/operation"
	"gorseline/io/operator"
)

type operationShowCommand struct {
	operatorSettings
	Organisation core.Organisation `long:"organisation" env:"ORGANISATION" description:"Organisation of the caller" required:"yes"`
	Arguments    struct {
		Key core.OperationKey `positional-arg-name:"KEY" description:"Operation key, the value of the header Idempotency-Key"`
	} `positional-args:"yes" required:"yes"`
}

func init() {
	registerTerminal[operationShowCommand]("operation show", "Show the outcome of a call that may not be repeated",
		"Shows whether a call that may not be repeated has run, and what its caller can do.")
}

// Execute prints the recorded outcome.
func (c *operationShowCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, sess session) error {
		answer, err := sess.Operation(ctx, operator.OperationRequest{Organisation: c.Organisation, Key: c.Arguments.Key})
		if err != nil {
			return readError(sess, err)
		}
		return c.print(answer, func() {
			c.printf("outcome  %s\n", answer.Outcome)
			if answer.Reason != "" {
				c.printf("reason   %s\n", answer.Reason)
			}
			if answer.Outcome == core.OutcomeDone && !answer.AnswerMissing {
				c.printf("answer   HTTP status %d, %d bytes\n", answer.Answer.Status, len(answer.Answer.Body))
			}
			c.printf("meaning  %s\n", meaning(answer.Result))
		})
	})
}

// meaning describes what a result means for the caller.
func meaning(r operation.Result) string {
	switch {
	case r.Outcome == core.OutcomeDone && r.AnswerMissing:
		return "The call has run. Its answer was not recorded; ask the target for its effect."
	case r.Outcome == core.OutcomeDone:
		return "The call has run once. A repeat with this key gets the recorded answer."
	case r.Outcome == core.OutcomeInProgress:
		return "The call is running. Check again in a few seconds."
	case r.Outcome == core.OutcomeNotRun && r.Final:
		return "The call has not run and never will with this key. The caller may use a new key."
	case r.Reason == operation.ReasonNoRecord:
		return "No call with this key is recorded. The caller may send it, with the same key."
	case r.Outcome == core.OutcomeNotRun:
		return "The last request has not run, but an earlier one may have. The caller must repeat the same key."
	case r.Reason == core.ReasonStoreUnavailable:
		return "The record can't be read now. Check again when the table service is available."
	}
	return "The call may have run. It won't be repeated; ask the target for its effect before a new key is used."
}
