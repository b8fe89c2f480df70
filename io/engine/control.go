package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/io/target"
)

// heartbeatWorkers bounds the concurrent heartbeat calls. They run concurrently because
// an unresponsive engine occupies a worker for CallTimeout.
const heartbeatWorkers = 8

// Done is closed when Run has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

// Run sends heartbeats to each engine with open streams until ctx ends, so that engines
// know that the reader of the streams is alive.
func (c *Client) Run(ctx context.Context) {
	defer close(c.done)
	pause.Every(ctx, c.options.HeartbeatInterval, func() { c.sendHeartbeats(ctx) })
}

func (c *Client) sendHeartbeats(ctx context.Context) {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.openStreams))
	for address := range c.openStreams {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	slots := make(chan struct{}, heartbeatWorkers)
	var workers sync.WaitGroup
	for _, address := range addresses {
		slots <- struct{}{}
		workers.Go(func() {
			defer func() { <-slots }()
			// The error is ignored: heartbeats in the streams detect a failed engine.
			_ = c.call(ctx, http.MethodPost, address, "/v1/heartbeat", nil)
		})
	}
	workers.Wait()
}

// loadBody is the answer of GET /v1/load.
type loadBody struct {
	QueuedRequests     int        `json:"queued_requests"`
	Running            int        `json:"running"`
	QueuedPromptTokens int        `json:"queued_prompt_tokens"`
	KVUsed             int        `json:"kv_used"`
	KVCapacity         int        `json:"kv_capacity"`
	Role               core.Role  `json:"role"`
	Model              core.Model `json:"model"`
	WeightsVersion     string     `json:"weights_version"`
	Changing           bool       `json:"changing"`
	Leaving            bool       `json:"leaving"`
	AppliedFence       core.Fence `json:"applied_fence"`
	AppliedSequence    uint64     `json:"applied_sequence"`
	AgeMs              int64      `json:"age_ms"`
}

// Load returns the load report of an engine.
func (c *Client) Load(ctx context.Context, address string) (core.LoadReport, error) {
	var b loadBody
	if err := c.call(ctx, http.MethodGet, address, "/v1/load", &b); err != nil {
		return core.LoadReport{}, err
	}
	return core.LoadReport{
		QueuedRequests: b.QueuedRequests, Running: b.Running, QueuedPromptTokens: b.QueuedPromptTokens,
		KVUsed: b.KVUsed, KVCapacity: b.KVCapacity, Role: b.Role, Model: b.Model,
		WeightsVersion: b.WeightsVersion, Changing: b.Changing, Leaving: b.Leaving,
		AppliedFence: b.AppliedFence, AppliedSequence: b.AppliedSequence,
		Age: time.Duration(b.AgeMs) * time.Millisecond,
	}, nil
}

// CacheEvents returns the cache events that follow a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]core.CacheEvent, error) {
	var events []core.CacheEvent
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, address, path, &events)
	return events, err
}

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	Role           core.Role      `json:"role"`
	Model          core.Model     `json:"model"`
	Adapter        string         `json:"adapter"`
	WeightsVersion string         `json:"weights_version"`
	Fence          core.Fence     `json:"fence"`
	Sequence       uint64         `json:"sequence"`
	Attempt        core.AttemptID `json:"attempt"`
}

// Order sends an order on a new connection. The deadline of ctx is the connection's write
// deadline, so that a process that was paused past it can't send an outdated order.
func (c *Client) Order(ctx context.Context, address string, o core.Order) core.OrderResult {
	body, err := json.Marshal(orderBody{
		Role: o.Role, Model: o.Model, Adapter: o.Adapter, WeightsVersion: o.WeightsVersion,
		Fence: o.Fence, Sequence: o.Sequence, Attempt: o.Attempt,
	})
	if err != nil {
		return core.OrderRejected
	}
	attempt := new(target.Attempt)
	if deadline, ok := ctx.Deadline(); ok {
		if !time.Now().Before(deadline) {
			return core.OrderUnknown
		}
		attempt.WithWriteDeadline(deadline)
	}
	resp, err := c.do(ctx, c.orders, attempt, http.MethodPost, address, "/v1/orders", body)
	if err != nil {
		return core.OrderUnknown
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return core.OrderAccepted
	case resp.StatusCode == http.StatusConflict:
		return core.OrderStale
	case resp.StatusCode < http.StatusInternalServerError:
		return core.OrderRejected
	default:
		return core.OrderUnknown
	}
}
