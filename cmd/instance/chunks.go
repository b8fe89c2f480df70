package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"gorseline/core"
	"gorseline/core/timeline"
)

const (
	eventsPrefix = "Events/"
	// maxChunks bounds the chunks that one query reads; a chunk has about 256 KB.
	maxChunks = 512
	// maxListCalls bounds the list calls of one query.
	maxListCalls = 128
	// listPageSize is the maximum number of keys in the result of one list call. A fleet
	// of the design size, 680 instances, writes fewer chunks than that in 10 s.
	listPageSize = 1000
	// timestampDigits is the width of the timestamp in a key. Timestamps are zero-padded,
	// so that keys sort by time.
	timestampDigits = 20
	// maxChunkSpan is the longest time that the events of a chunk usually span. Chunks that
	// are written after a store outage may span more, and a query may miss their last events.
	maxChunkSpan = 2 * flushInterval
	// maxTimestamp is the latest time that a timestamp can represent.
	maxTimestamp = time.Duration(1<<63 - 1)
)

// chunkKey returns the key of a chunk by the time of its first event. Chunks of an instance may
// begin within one reading of the wall clock, so the key has the logical time too.
func chunkKey(at core.Timestamp, instance string) string {
	return fmt.Sprintf("%s%0*d.%d-%s", eventsPrefix, timestampDigits, at.Wall, at.Logical, instance)
}

// parseChunkKey returns the wall time of the chunk's first event and the instance that wrote it.
// ok is false if the key isn't one of chunkKey. Keys of earlier versions have no logical time.
func parseChunkKey(key string) (at time.Duration, instance core.InstanceID, ok bool) {
	timestamp, name, found := strings.Cut(strings.TrimPrefix(key, eventsPrefix), "-")
	digits, _, _ := strings.Cut(timestamp, ".")
	n, err := strconv.ParseInt(digits, 10, 64)
	return time.Duration(n), core.InstanceID(name), found && err == nil && len(digits) == timestampDigits
}

// chunkReader reads the events of all instances from the object store, newest chunk first,
// and stops as soon as it has the requested number of latest events. A list call returns
// keys in ascending order. If a prefix has more keys than fit a page, the reader lists each
// prefix that is one timestamp digit longer instead, in descending order.
type chunkReader struct {
	objects core.ObjectStore
	filter  timeline.Filter
	limit   int
	// latestKeyTime is an upper bound for the timestamps of keys. Prefixes above it aren't
	// listed.
	latestKeyTime time.Duration

	listCalls, chunks int
	events            []core.Event
	// limitReachedAt is the time of the chunk with which the number of events reached
	// limit; 0 before that.
	limitReachedAt time.Duration
	// stoppedAt is the timestamp of the keys at which maxChunks or maxListCalls ended the
	// search; 0 if neither did.
	stoppedAt time.Duration
}

// read returns matching events in no particular order. They include the latest ones, up to
// limit; there may be more.
func (r *chunkReader) read(ctx context.Context) ([]core.Event, error) {
	_, err := r.readPrefix(ctx, eventsPrefix)
	return r.events, err
}

// readPrefix reads the chunks whose keys have a prefix. It returns false if the search must
// end.
func (r *chunkReader) readPrefix(ctx context.Context, prefix string) (more bool, err error) {
	first, last := prefixRange(prefix)
	if first > r.latestKeyTime || !r.mayMatch(first, last) {
		return true, nil
	}
	if r.listCalls++; r.listCalls > maxListCalls {
		r.stoppedAt = last
		return false, nil
	}
	keys, err := r.objects.List(ctx, prefix, listPageSize)
	if err != nil {
		return false, err
	}
	if len(keys) == listPageSize && len(prefix) < len(eventsPrefix)+timestampDigits {
		for digit := '9'; digit >= '0'; digit-- {
			if more, err := r.readPrefix(ctx, prefix+string(digit)); !more || err != nil {
				return false, err
			}
		}
		return true, nil
	}
	for i := len(keys) - 1; i >= 0; i-- {
		if more, err := r.readChunk(ctx, keys[i]); !more || err != nil {
			return false, err
		}
	}
	return true, nil
}

// prefixRange returns the lowest and the highest timestamp that a key with the prefix can
// have.
func prefixRange(prefix string) (first, last time.Duration) {
	digits := strings.TrimPrefix(prefix, eventsPrefix)
	missing := timestampDigits - len(digits)
	low, lowErr := strconv.ParseUint(digits+strings.Repeat("0", missing), 10, 64)
	high, highErr := strconv.ParseUint(digits+strings.Repeat("9", missing), 10, 64)
	if lowErr != nil { // out of range
		low = uint64(maxTimestamp)
	}
	if highErr != nil {
		high = uint64(maxTimestamp)
	}
	return time.Duration(min(low, uint64(maxTimestamp))), time.Duration(min(high, uint64(maxTimestamp)))
}

// mayMatch reports whether chunks whose keys have timestamps from first to last may contain
// events that the query still needs.
func (r *chunkReader) mayMatch(first, last time.Duration) bool {
	return (r.filter.To == 0 || first <= r.filter.To) && last >= max(r.filter.From, r.limitReachedAt)-maxChunkSpan
}

// readChunk reads one chunk. It returns false if the search must end.
func (r *chunkReader) readChunk(ctx context.Context, key string) (more bool, err error) {
	at, instance, ok := parseChunkKey(key)
	if !ok || !r.mayMatch(at, at) || r.filter.Instance != "" && r.filter.Instance != instance {
		return true, nil
	}
	if r.chunks++; r.chunks > maxChunks {
		r.stoppedAt = at
		return false, nil
	}
	data, err := r.objects.Get(ctx, key)
	if err != nil {
		return false, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	for decoder.More() {
		var e core.Event
		if err := decoder.Decode(&e); err != nil {
			return false, err
		}
		if r.filter.Matches(e) {
			r.events = append(r.events, e)
		}
	}
	if r.limitReachedAt == 0 && len(r.events) >= r.limit {
		r.limitReachedAt = at
	}
	return true, nil
}

// incomplete describes where a bound ended the search. It is empty if none did.
func (r *chunkReader) incomplete() string {
	if r.stoppedAt == 0 {
		return ""
	}
	return fmt.Sprintf("the search ended after %d chunks at %s; narrow it by time, instance or target",
		min(r.chunks, maxChunks), time.Unix(0, int64(r.stoppedAt)).UTC().Format(time.DateTime))
}
