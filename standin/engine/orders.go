package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"gorseline/core"
)

// pendingChange is an accepted order that has not been applied yet.
type pendingChange struct {
	target configuration
	// readyAt is the end of the change. It is zero while running work finishes or the
	// weights can't be fetched.
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
	status, kind := e.acceptOrder(order)
	e.mu.Unlock()
	if kind != "" {
		writeError(w, status, kind, "the order was not accepted")
		return
	}
	w.WriteHeader(status)
}

// acceptOrder validates an order and makes it the pending change, or returns the
// status and the error type of its refusal. A repeated order is accepted without
// effect.
func (e *Engine) acceptOrder(order wireOrder) (status int, kind string) {
	newest := e.applied
	if e.pending != nil {
		newest = e.pending.target
	}
	to := configuration{
		role: order.Role, model: order.Model, adapter: order.Adapter, version: order.WeightsVersion,
		fence: order.Fence, sequence: order.Sequence, attempt: order.Attempt,
	}
	if to == newest {
		return http.StatusAccepted, ""
	}
	if e.options.ChecksFence && !supersedes(to, newest) {
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
	e.pending = &pendingChange{target: to}
	e.wakeUp()
	return http.StatusAccepted, ""
}

// supersedes reports whether order a is newer than order b.
func supersedes(a, b configuration) bool {
	return a.fence > b.fence || a.fence == b.fence && a.sequence > b.sequence
}

// advanceChange starts the pending change once no work is left, and applies it once
// its duration has passed.
func (e *Engine) advanceChange(now time.Time) {
	if e.pending == nil || len(e.running)+len(e.queue) > 0 {
		return
	}
	to := e.pending.target
	if e.pending.readyAt.IsZero() {
		wait, ok := e.changeDuration(to, now)
		if !ok {
			return // the weight store has an outage; the next call retries
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
	if e.needsModelLoad(to) {
		e.counters.ModelLoads++
		e.prefixCache.clear()
	}
	e.applied, e.pending = to, nil
	e.takeSnapshot(now)
}

// needsModelLoad reports whether the change to a configuration replaces the weights.
func (e *Engine) needsModelLoad(to configuration) bool {
	return to.model != e.applied.model || to.version != e.applied.version || to.adapter != e.applied.adapter
}

// changeDuration returns how long the change to a configuration takes. It returns
// false if the weights that it needs can't be fetched now.
func (e *Engine) changeDuration(to configuration, now time.Time) (total time.Duration, ok bool) {
	if to.role != e.applied.role {
		total += e.options.RoleChangeTime
	}
	if !e.needsModelLoad(to) {
		return total, true
	}
	total += e.options.ModelLoadTime
	if e.options.Weights == nil {
		return total, true
	}
	wait, ok := e.options.Weights.ReserveFetch(now)
	return total + wait, ok
}
