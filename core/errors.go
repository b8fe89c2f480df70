package core

import "github.com/pkg/errors"

// ErrStreamCut reports a stream that ended before its terminal piece.
var ErrStreamCut = errors.New("stream ended before its terminal piece")

// ErrUnavailable reports that a peer or platform service could not be reached.
var ErrUnavailable = errors.New("service unavailable")

// ErrObjectNotFound reports a key that the object store doesn't hold.
var ErrObjectNotFound = errors.New("no such object")
