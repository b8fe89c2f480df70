package core

import "github.com/pkg/errors"

// ErrStreamCut reports a stream that ended before its terminal piece.
var ErrStreamCut = errors.New("stream ended before its terminal piece")

// ErrUnavailable reports that a peer or platform service can't be reached.
var ErrUnavailable = errors.New("service unavailable")

// ErrObjectNotFound reports a key that doesn't exist in the object store.
var ErrObjectNotFound = errors.New("no such object")

// ErrNotRun reports a call that a target has not run and will not run: no byte
// reached it, or it refused the call before running it.
var ErrNotRun = errors.New("call was not run by the target")

// ErrUnknownStream reports that an engine doesn't know a stream or an offset in it, so
// that the stream can't be resumed there.
var ErrUnknownStream = errors.New("engine does not know the stream")

// ErrIdleTimeout is the cancellation cause of a stream whose connection is open but
// delivered neither data nor heartbeats in time. Clients of targets close such a
// connection and don't reuse it.
var ErrIdleTimeout = errors.New("connection is silent")
