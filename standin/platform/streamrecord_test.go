package platform_test

import (
	"context"
	"sync"
	"time"

	"gorseline/core"
)

// streamRecord records the starts of streams in memory. Forwarders may share it.
type streamRecord struct {
	// delay is how long a recording takes, lookupDelay how long a lookup takes.
	delay, lookupDelay time.Duration

	mu       sync.Mutex
	versions map[streamKey]core.SoftwareVersion
	starts   []core.StreamStart
}

type streamKey struct {
	service core.Service
	request core.RequestID
}

var (
	_ core.StreamStartRecorder   = (*streamRecord)(nil)
	_ core.StreamVersionProvider = (*streamRecord)(nil)
)

// RecordStreamStart records the start of a stream.
func (r *streamRecord) RecordStreamStart(s core.StreamStart) {
	time.Sleep(r.delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[streamKey{s.Service, s.Request}] = s.Version
	r.starts = append(r.starts, s)
}

// StreamVersion returns the version at which a stream began, if it is recorded.
func (r *streamRecord) StreamVersion(_ context.Context, service core.Service, request core.RequestID) (core.SoftwareVersion, bool) {
	time.Sleep(r.lookupDelay)
	r.mu.Lock()
	defer r.mu.Unlock()
	version, ok := r.versions[streamKey{service, request}]
	return version, ok
}

// allStarts returns all recorded starts.
func (r *streamRecord) allStarts() []core.StreamStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]core.StreamStart(nil), r.starts...)
}
