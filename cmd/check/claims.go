package check

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/anishathalye/porcupine"

	"gorseline/core"
	"gorseline/core/operation"
)

// operationKeys is the number of operation keys of one history.
const operationKeys = 6

// claimWorkload sends calls that may not be repeated and checks that each key runs at most
// once.
type claimWorkload struct {
	w *world
	// runs holds the names of the requests that ran, by key and in the order of their runs.
	runs [operationKeys][]string
	// history holds all requests by key.
	history [operationKeys][]*request
}

// request is one call or lookup of a key at an executor.
type request struct {
	name string // also the body of the answer if it runs
	// called and returned are logical times. returned is valid if answered is set.
	called, returned uint64
	lookup           bool
	claim            core.AttemptID // the claim that Execute writes
	result           operation.Result
	answered         bool
}

var errConnection = errors.New("connection failed")

func (wl *claimWorkload) start(i *instance) {
	w, ctx := wl.w, context.Background()
	w.spawn(i, func() {
		for {
			w.sleep(w.between(500*time.Millisecond, 1500*time.Millisecond))
			i.executor.Flush(ctx)
		}
	})
	w.spawn(i, func() {
		for {
			w.sleep(w.between(2*time.Second, 20*time.Second))
			if w.recovering {
				continue
			}
			// A caller that gets no answer repeats its key on another connection, so
			// requests with the same key overlap.
			key := w.random.IntN(operationKeys)
			for range 1 + w.random.IntN(2) {
				w.spawn(w.randomLiveOr(i), func() { wl.sendRequest(w.current.instance, key) })
			}
		}
	})
}

// randomLiveOr draws a random instance and returns it if it is live, else i.
func (w *world) randomLiveOr(i *instance) *instance {
	if other := w.instances[w.random.IntN(len(w.instances))]; other.alive {
		return other
	}
	return i
}

// sendRequest executes or looks up one key and records the result.
func (wl *claimWorkload) sendRequest(i *instance, key int) {
	w := wl.w
	r := &request{name: "r" + formatSerial(w.tick()), called: w.tick(), lookup: w.chance(0.3)}
	wl.history[key] = append(wl.history[key], r)
	name := core.OperationKey("k" + strconv.Itoa(key))
	ctx, cancel := i.clock.WithDeadline(context.Background(), i.clock.Now().Add(10*time.Second))
	defer cancel()
	if r.lookup {
		r.result = i.executor.Lookup(ctx, "o", name)
	} else {
		call := operation.Call{Organisation: "o", Key: name, Digest: "d", Target: "s"}
		if w.chance(0.1) {
			call.Digest = "other"
		}
		r.claim = core.AttemptID(formatSerial(w.serial + 1)) // Execute draws the claim ID first
		r.result = i.executor.Execute(ctx, call, func(ctx context.Context) core.ServiceResult {
			return wl.runService(ctx, i, key, r.name)
		})
	}
	r.answered, r.returned = true, w.tick()
	w.activity["Answered"+r.result.Outcome.String()]++
}

// runService calls a service without deduplication: it runs every request that arrives.
func (wl *claimWorkload) runService(ctx context.Context, i *instance, key int, name string) core.ServiceResult {
	w := wl.w
	w.sleep(w.between(0, 20*time.Millisecond))
	i.pauseIfPending(&i.pauseBeforeWrite, "PauseBeforeWrite")
	if ctx.Err() != nil || w.chance(0.1) {
		return core.ServiceResult{Outcome: core.OutcomeNotRun, Err: errConnection}
	}
	d := i.targetDelivery(2*time.Second, 5*time.Second)
	i.pauseIfPending(&i.pauseInWrite, "PauseInWrite")
	result := core.ServiceResult{}
	w.roundTrip(d, func() {
		wl.runs[key] = append(wl.runs[key], name)
		w.activity["OperationRun"]++
		result = core.ServiceResult{
			Outcome: core.OutcomeDone, Answer: core.ServiceAnswer{Status: 200, Body: []byte(name)},
		}
	}, func() { result = core.ServiceResult{Outcome: core.OutcomeUnknown, Err: errConnection} })
	return result
}

// check reports keys that ran more than once, requests that were answered as not run but
// ran, and histories that don't fit a register that at most one run may set.
func (wl *claimWorkload) check() (violations []string) {
	for key := range operationKeys {
		runs := wl.runs[key]
		if len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("key %d ran %d times: %v", key, len(runs), runs))
		}
		for _, r := range wl.history[key] {
			if r.answered && r.result.Outcome == core.OutcomeNotRun && contradictsNotRun(runs, r) {
				violations = append(violations, fmt.Sprintf("key %d: request %s ran and was answered as not run (%s)",
					key, r.name, r.result.Reason))
			}
		}
		if text := wl.checkRow(key); text != "" {
			violations = append(violations, text)
		}
		if !porcupine.CheckOperations(claimRegister, claimHistory(wl.history[key])) {
			violations = append(violations, fmt.Sprintf("key %d: history does not fit an at-most-once register", key))
		}
	}
	return violations
}

// checkRow compares the final row of a key with the answer to the request that claimed it.
func (wl *claimWorkload) checkRow(key int) string {
	rows, err := wl.w.table.Read(context.Background(), operation.Key("o", core.OperationKey("k"+strconv.Itoa(key))))
	if err != nil {
		return err.Error()
	}
	var row operation.Record
	if rows[0].Version == 0 {
		return ""
	}
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return err.Error()
	}
	for _, r := range wl.history[key] {
		if r.claim == row.Claim && r.result.Outcome == core.OutcomeNotRun && row.State != operation.StateNotRun {
			return fmt.Sprintf("key %d: request %s was answered as not run (%s), its claim is %s",
				key, r.name, r.result.Reason, row.State)
		}
	}
	return ""
}

// contradictsNotRun reports whether the runs contradict the answer that r was not run. A
// final NotRun says that no request with the key ran.
func contradictsNotRun(runs []string, r *request) bool {
	for _, run := range runs {
		if run == r.name || isKeyNotRun(r.result) {
			return true
		}
	}
	return false
}

// isKeyNotRun reports whether a result says that no request with the key was run, as
// opposed to this request only.
func isKeyNotRun(r operation.Result) bool {
	return r.Outcome == core.OutcomeNotRun && r.Final
}

// claimState is the state of an at-most-once register.
type claimState struct {
	ran    string // the request that ran
	notRun bool   // the key is recorded as not run
}

// claimRegister allows one run per key, no run after the key was recorded as not run, and
// only the answer of that run.
var claimRegister = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{claimState{}} },
	Step: func(from, _, output any) []any {
		state, r := from.(claimState), output.(*request)
		unset := state == claimState{}
		ran := claimState{ran: r.name}
		switch {
		case r.answered && r.result.Outcome == core.OutcomeDone:
			answer := string(r.result.Answer.Body)
			if unset && !r.lookup && !r.result.Repeated && answer == r.name {
				return []any{ran}
			}
			if answer == state.ran && state.ran != "" {
				return []any{state}
			}
			return nil
		case r.answered && isKeyNotRun(r.result):
			if state.ran != "" {
				return nil
			}
			return []any{claimState{notRun: true}}
		case r.answered && (r.lookup || r.result.Repeated || r.result.Outcome == core.OutcomeNotRun):
			return []any{state}
		case unset:
			return []any{state, ran} // it is unknown whether the request ran
		}
		return []any{state}
	},
}).ToModel()

// claimHistory returns the history of a key. A request that was never answered, because
// its instance was killed, may take effect at any later time.
func claimHistory(requests []*request) []porcupine.Operation {
	history := make([]porcupine.Operation, 0, len(requests))
	for _, r := range requests {
		operation := porcupine.Operation{Input: r, Output: r, Call: int64(r.called), Return: math.MaxInt64}
		if r.answered {
			operation.Return = int64(r.returned)
		}
		history = append(history, operation)
	}
	return history
}
