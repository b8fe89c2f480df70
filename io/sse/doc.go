// Package sse reads and writes server-sent events as callers and engines use
// them: OpenAI-style completion chunks with event IDs, heartbeat comments, typed
// error events and the terminal "[DONE]".
package sse
