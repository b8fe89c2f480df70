// Package stream relays answers of engines to callers.
//
// One goroutine per stream, the caller's own, reads pieces and writes events; a
// timer watches both sides. There is no buffer between the two sides besides
// those of the connections, so a slow caller slows down only its own stream. Pieces
// that have already arrived when one is written are merged into one event.
//
// A stream that breaks is resumed on a new connection from the last delivered
// token. If its engine lost it, repeatable work is rerun on another target, and the
// rerun's text must begin with the text that was delivered.
package stream
