// Package engine is a stand-in of a model engine: an HTTP handler with
// continuous batching, a limited prefix cache, lagging load reports, orders and
// fault controls. The text that it generates is a function of model and prompt,
// so that a receiver can check that an answer is complete.
//
// Routes:
//
//	POST   /v1/completions             stream of a new completion (SSE)
//	GET    /v1/streams/{id}?offset=N   the stream from token N on (SSE)
//	DELETE /v1/streams/{id}            cancel
//	POST   /v1/heartbeat               a client says that it still reads its streams
//	GET    /v1/load                    load report
//	POST   /v1/orders                  role, model, adapter and version
//	GET    /v1/cache-events?after=N    cache events
//	POST   /v1/kv/export               KV cache of a prompt, for another engine
package engine
