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

// keys is the number of operation keys of one history.
const keys = 6

// claims is the part of calls that may not be repeated.
type claims struct {
	w *world
	// runs holds the requests that ran per key, in the order of their runs.
	runs    [keys][]string
	history [keys][]*request
}

// request is one call of an executor.
type request struct {
	name             string // also the answer that its run gives
	called, returned uint64
	lookup           bool
	claim            core.AttemptID
	result           operation.Result
	answered         bool
}

var errConnection = errors.New("connection failed")

func (p *claims) start(i *instance) {
	w, ctx := p.w, context.Background()
	w.spawn(i, func() {
		for {
			w.sleep(w.between(500*time.Millisecond, 1500*time.Millisecond))
			i.executor.Flush(ctx)
		}
	})
	w.spawn(i, func() {
		for {
			w.sleep(w.between(2*time.Second, 20*time.Second))
			if w.quiet {
				continue
			}
			// A caller that gets no answer repeats its key on another connection, so that
			// requests with one key overlap.
			key := w.random.IntN(keys)
			for range 1 + w.random.IntN(2) {
				w.spawn(w.liveInstance(i), func() { p.request(w.current.instance, key) })
			}
		}
	})
}

// liveInstance returns a random live instance, or i if it is the only one.
func (w *world) liveInstance(i *instance) *instance {
	if other := w.instances[w.random.IntN(len(w.instances))]; other.alive {
		return other
	}
	return i
}

// request executes or looks up one key and notes the result.
func (p *claims) request(i *instance, key int) {
	w := p.w
	r := &request{name: "r" + formatSerial(w.tick()), called: w.tick(), lookup: w.chance(0.3)}
	p.history[key] = append(p.history[key], r)
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
		r.claim = core.AttemptID(formatSerial(w.serial + 1)) // Execute takes the next ID first
		r.result = i.executor.Execute(ctx, call, func(ctx context.Context) core.ServiceResult {
			return p.run(ctx, i, key, r.name)
		})
	}
	r.answered, r.returned = true, w.tick()
	w.activity["Answered"+r.result.Outcome.String()]++
}

// run is the call to a plain service that runs whatever reaches it.
func (p *claims) run(ctx context.Context, i *instance, key int, name string) core.ServiceResult {
	w := p.w
	w.sleep(w.between(0, 20*time.Millisecond))
	i.strike(&i.pauseBeforeWrite, "PauseBeforeWrite")
	if ctx.Err() != nil || w.chance(0.1) {
		return core.ServiceResult{Outcome: core.OutcomeNotRun, Err: errConnection}
	}
	f := i.targetFate(2*time.Second, 5*time.Second)
	i.strike(&i.pauseInWrite, "PauseInWrite")
	result := core.ServiceResult{}
	w.exchange(f, func() {
		p.runs[key] = append(p.runs[key], name)
		w.activity["OperationRun"]++
		result = core.ServiceResult{
			Outcome: core.OutcomeDone, Answer: core.ServiceAnswer{Status: 200, Body: []byte(name)},
		}
	}, func() { result = core.ServiceResult{Outcome: core.OutcomeUnknown, Err: errConnection} })
	return result
}

// check looks at the runs themselves and compares the answers with a register that
// one run at most may set.
func (p *claims) check() (violations []string) {
	for key := range keys {
		runs := p.runs[key]
		if len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("key %d ran %d times: %v", key, len(runs), runs))
		}
		for _, r := range p.history[key] {
			if r.answered && r.result.Outcome == core.OutcomeNotRun && contains(runs, r) {
				violations = append(violations, fmt.Sprintf("key %d: request %s ran and was answered as not run (%s)",
					key, r.name, r.result.Reason))
			}
		}
		if text := p.checkRow(key); text != "" {
			violations = append(violations, text)
		}
		if !porcupine.CheckOperations(claimRegister, claimHistory(p.history[key])) {
			violations = append(violations, fmt.Sprintf("key %d: history does not fit an at-most-once register", key))
		}
	}
	return violations
}

// checkRow compares the key's final row with what the claimant's caller was told.
func (p *claims) checkRow(key int) string {
	rows, err := p.w.table.Read(context.Background(), operation.Key("o", core.OperationKey("k"+strconv.Itoa(key))))
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
	for _, r := range p.history[key] {
		if r.claim == row.Claim && r.result.Outcome == core.OutcomeNotRun && row.State != operation.StateNotRun {
			return fmt.Sprintf("key %d: request %s was answered as not run (%s), its claim is %s",
				key, r.name, r.result.Reason, row.State)
		}
	}
	return ""
}

// contains reports whether the runs contradict that r was not run. A recorded NotRun
// speaks for the whole key.
func contains(runs []string, r *request) bool {
	for _, run := range runs {
		if run == r.name || isKeyNotRun(r.result) {
			return true
		}
	}
	return false
}

// isKeyNotRun reports whether a result says that the key was not run by anybody, as
// opposed to this request only.
func isKeyNotRun(r operation.Result) bool {
	return r.Outcome == core.OutcomeNotRun && r.Final
}

// claimState is the state of an at-most-once register.
type claimState struct {
	ran    string // the request that ran
	notRun bool   // the key is recorded as not run
}

// claimRegister allows one run per key, none after the key was recorded as not run, and
// no other answer than that of the run.
var claimRegister = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{claimState{}} },
	Step: func(from, _, output any) []any {
		state, r := from.(claimState), output.(*request)
		free := state == claimState{}
		ran := claimState{ran: r.name}
		switch {
		case r.answered && r.result.Outcome == core.OutcomeDone:
			answer := string(r.result.Answer.Body)
			if free && !r.lookup && !r.result.Repeated && answer == r.name {
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
		case free:
			return []any{state, ran} // nobody knows whether it ran
		}
		return []any{state}
	},
}).ToModel()

// claimHistory returns the requests of a key. One that was never answered, because its
// instance was killed, may take effect at any later time.
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
