// Package engine is a fake model engine: an HTTP handler with continuous batching,
// a bounded prefix cache, delayed load reports, orders and fault injection. The
// generated text is a function of model and prompt, so that a client can verify
// that an answer is complete.
//
// Routes:
//
//	POST   /v1/completions             start a completion and stream it (SSE)
//	GET    /v1/streams/{id}?offset=N   resume a stream at token N (SSE)
//	DELETE /v1/streams/{id}            cancel a stream
//	POST   /v1/heartbeat               keep-alive of a client that reads streams
//	GET    /v1/load                    latest load report
//	POST   /v1/orders                  change role, model, adapter or weights version
//	GET    /v1/cache-events?after=N    prefix cache events after sequence number N
//	POST   /v1/kv/export               export the KV cache of a prompt to another engine
package engine
