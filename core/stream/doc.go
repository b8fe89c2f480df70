// Package stream relays answers of engines to callers.
//
// Each stream is served by the goroutine of its caller, which reads pieces from the
// engine and writes events to the caller. One goroutine per relay monitors all
// streams for silent engines and stalled callers. Apart from the buffers of the
// connections nothing is queued between engine and caller, so a slow caller slows
// down only its own stream. Pieces that have already arrived are merged into one
// event.
//
// A stream that breaks is resumed on a new connection after the last token that was
// received. If the engine no longer has the stream, a repeatable request is rerun on
// another target. The text of the rerun must begin with the text that was delivered.
package stream
