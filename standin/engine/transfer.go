package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// wireExport is the body of POST /v1/kv/export. The response is the list of exported
// blocks.
type wireExport struct {
	Model  core.Model `json:"model"`
	Prompt string     `json:"prompt"`
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body wireExport
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	blocks := core.AppendPrefixBlocks(nil, body.Prompt)
	e.mu.Lock()
	if body.Model != e.applied.model {
		blocks = blocks[:0]
	}
	blocks = blocks[:e.prefixCache.match(blocks)]
	e.mu.Unlock()
	seconds := float64(len(blocks)*core.PrefixBlockTokens) / e.options.TransferRate
	if pause.For(r.Context(), time.Duration(seconds*float64(time.Second))) {
		writeJSON(w, http.StatusOK, append([]uint64{}, blocks...))
	}
}

// importKV imports the KV cache of a prompt from another engine. If that fails, this
// engine computes the prompt itself.
func (e *Engine) importKV(ctx context.Context, address string, model core.Model, prompt string, promptBlocks []uint64) {
	e.mu.Lock()
	cached := e.prefixCache.match(promptBlocks)
	e.mu.Unlock()
	if cached == len(promptBlocks) {
		return
	}
	body, err := json.Marshal(wireExport{model, prompt})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var blocks []uint64
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&blocks) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixCache.add(time.Now(), blocks)
	e.counters.ImportedTokens += max(0, len(blocks)-cached) * core.PrefixBlockTokens
}

// wireLoad is the response of GET /v1/load.
type wireLoad struct {
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

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s, age := e.snapshot, time.Since(e.snapshotAt)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, wireLoad{
		QueuedRequests: s.QueuedRequests, Running: s.Running, QueuedPromptTokens: s.QueuedPromptTokens,
		KVUsed: s.KVUsed, KVCapacity: s.KVCapacity, Role: s.Role, Model: s.Model,
		WeightsVersion: s.WeightsVersion, Changing: s.Changing, Leaving: s.Leaving,
		AppliedFence: s.AppliedFence, AppliedSequence: s.AppliedSequence, AgeMs: age.Milliseconds(),
	})
}
