package core

import "github.com/pkg/errors"

// ErrNotRun reports a call that a target has not run and will not run: no byte
// reached it, or it refused the call before running it.
var ErrNotRun = errors.New("call was not run by the target")

// ErrUnknownStream reports that an engine does not know a stream or offset, so
// that it can't be resumed there.
var ErrUnknownStream = errors.New("engine does not know the stream")

// ErrIdleTimeout is the cancellation cause of a stream whose connection is open but
// gave no sign of life. Clients of targets discard such a connection.
var ErrIdleTimeout = errors.New("connection is silent")
