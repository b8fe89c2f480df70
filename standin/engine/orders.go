package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"gorseline/core"
)

// change is an accepted order that has not taken effect.
type change struct {
	to state
	// readyAt is when the change ends; it is zero while running work finishes.
	readyAt time.Time
}

// wireOrder is the body of POST /v1/orders.
type wireOrder struct {
	Role           core.Role      `json:"role"`
	Model          core.Model     `json:"model"`
	Adapter        string         `json:"adapter"`
	WeightsVersion string         `json:"weights_version"`
	Fence          core.Fence     `json:"fence"`
	Sequence       uint64         `json:"sequence"`
	Attempt        core.AttemptID `json:"attempt"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order wireOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.mu.Lock()
	status, kind := e.accept(order)
	e.mu.Unlock()
	if kind != "" {
		writeError(w, status, kind, "the order was not accepted")
		return
	}
	w.WriteHeader(status)
}

// accept checks an order and makes it the pending change.
func (e *Engine) accept(order wireOrder) (status int, kind string) {
	newest := e.applied
	if e.pending != nil {
		newest = e.pending.to
	}
	to := state{
		role: order.Role, model: order.Model, adapter: order.Adapter, version: order.WeightsVersion,
		fence: order.Fence, sequence: order.Sequence, attempt: order.Attempt,
	}
	if to == newest {
		return http.StatusAccepted, ""
	}
	if e.options.ChecksFence && !newer(to, newest) {
		e.counters.StaleOrdersRefused++
		return http.StatusConflict, "stale_order"
	}
	if len(e.options.Models) > 0 && !slices.Contains(e.options.Models, to.model) {
		return http.StatusUnprocessableEntity, "unknown_model"
	}
	if to.fence < newest.fence {
		e.counters.StaleOrdersAccepted++
	}
	e.counters.OrdersAccepted++
	e.pending = &change{to: to}
	e.wakeUp()
	return http.StatusAccepted, ""
}

func newer(a, b state) bool {
	return a.fence > b.fence || a.fence == b.fence && a.sequence > b.sequence
}

// advanceChange waits for running work, then for the time of the change, and
// applies it.
func (e *Engine) advanceChange(now time.Time) {
	if e.pending == nil || len(e.running)+len(e.queue) > 0 {
		return
	}
	to := e.pending.to
	if e.pending.readyAt.IsZero() {
		wait, ok := e.changeTime(to, now)
		if !ok {
			return // the weight store has an outage; the next look tries again
		}
		e.pending.readyAt = now.Add(wait)
		time.AfterFunc(wait, e.wakeUp)
	}
	if now.Before(e.pending.readyAt) {
		return
	}
	if to.role != e.applied.role {
		e.counters.RoleChanges++
	}
	if e.loads(to) {
		e.counters.ModelLoads++
		e.cache.clear()
	}
	e.applied, e.pending = to, nil
	e.takeSnapshot(now)
}

func (e *Engine) loads(to state) bool {
	return to.model != e.applied.model || to.version != e.applied.version || to.adapter != e.applied.adapter
}

// changeTime returns how long a change takes. It returns false if the weights that it
// needs can't be fetched now.
func (e *Engine) changeTime(to state, now time.Time) (total time.Duration, ok bool) {
	if to.role != e.applied.role {
		total += e.options.RoleChangeTime
	}
	if !e.loads(to) {
		return total, true
	}
	total += e.options.ModelLoadTime
	if e.options.Weights == nil {
		return total, true
	}
	queue, ok := e.options.Weights.Fetch(now)
	return total + queue, ok
}
