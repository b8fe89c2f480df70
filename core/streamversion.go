package core

import "context"

// SoftwareVersion names the software that a target runs. Versions have no order. A stream that
// began at one version can't be continued at another, and targets don't check that.
type SoftwareVersion string

// StreamStart states at which version a stream began.
type StreamStart struct {
	Service Service
	// Request is the attempt of the caller that brought the first event.
	Request RequestID
	Version SoftwareVersion
	// Deadline is the time after which the caller doesn't continue the stream any more.
	Deadline Instant
}

// StreamStartRecorder records at which versions streams begin.
type StreamStartRecorder interface {
	// RecordStreamStart records the start of a stream, before its first event is relayed. It
	// doesn't block.
	RecordStreamStart(StreamStart)
}

// StreamVersionProvider knows at which versions streams began, also those of instances that no
// longer run.
type StreamVersionProvider interface {
	// StreamVersion returns the version at which the stream of a request began, or false if it
	// can't be known. It may ask peers and returns within 200 ms or when ctx ends.
	StreamVersion(ctx context.Context, service Service, request RequestID) (SoftwareVersion, bool)
}
