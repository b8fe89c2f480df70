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
	// maxChunks bounds the chunks that one query reads, at about 256 KB each.
	maxChunks = 512
	// maxLists bounds the list calls of one query.
	maxLists = 128
	// listPage is the number of keys in one list call. It is above the 680 chunks
	// that the instances of the design size write in 10 s.
	listPage = 1000
	// timeDigits is the length of the time in a key, padded so that the order of
	// keys is the order of time.
	timeDigits = 20
	// chunkSpan is how much later than its key's time the events of a chunk may be.
	// Chunks that waited for a store outage may span more.
	chunkSpan = 2 * flushInterval
	// latestTime is the last time that a time stamp can hold.
	latestTime = time.Duration(1<<63 - 1)
)

func chunkKey(at time.Duration, instance string) string {
	return fmt.Sprintf("%s%0*d-%s", eventsPrefix, timeDigits, at, instance)
}

// parseChunkKey returns the time of the first event and the instance.
func parseChunkKey(key string) (at time.Duration, instance core.InstanceID, ok bool) {
	digits, name, found := strings.Cut(strings.TrimPrefix(key, eventsPrefix), "-")
	n, err := strconv.ParseInt(digits, 10, 64)
	return time.Duration(n), core.InstanceID(name), found && err == nil && len(digits) == timeDigits
}

// chunkReader reads the events of all instances from the object store, newest chunk
// first, and stops as soon as it has the latest events that were asked for. A list
// call returns the first keys of a prefix; when there are more than a page, the
// reader goes on with each longer prefix by one digit of the time.
type chunkReader struct {
	objects core.ObjectStore
	filter  timeline.Filter
	limit   int
	// newest bounds the times of keys; prefixes beyond it aren't listed.
	newest time.Duration

	lists, chunks int
	events        []core.Event
	// enough is the time of the chunk that brought the last event needed.
	enough time.Duration
	// stopped is the time at which a bound ended the search; 0 if none did.
	stopped time.Duration
}

// read returns matching events, at least the latest limit ones if there are so many.
func (r *chunkReader) read(ctx context.Context) ([]core.Event, error) {
	_, err := r.visit(ctx, eventsPrefix)
	return r.events, err
}

// visit reads the chunks below a prefix and reports whether the search goes on.
func (r *chunkReader) visit(ctx context.Context, prefix string) (bool, error) {
	first, last := prefixSpan(prefix)
	if first > r.newest || !r.mayMatch(first, last) {
		return true, nil
	}
	if r.lists++; r.lists > maxLists {
		r.stopped = last
		return false, nil
	}
	keys, err := r.objects.List(ctx, prefix, listPage)
	if err != nil {
		return false, err
	}
	if len(keys) == listPage && len(prefix) < len(eventsPrefix)+timeDigits {
		for digit := '9'; digit >= '0'; digit-- {
			if goOn, err := r.visit(ctx, prefix+string(digit)); !goOn || err != nil {
				return false, err
			}
		}
		return true, nil
	}
	for i := len(keys) - 1; i >= 0; i-- {
		if goOn, err := r.chunk(ctx, keys[i]); !goOn || err != nil {
			return false, err
		}
	}
	return true, nil
}

// prefixSpan returns the first and the last time of the keys with a prefix.
func prefixSpan(prefix string) (first, last time.Duration) {
	digits := strings.TrimPrefix(prefix, eventsPrefix)
	rest := timeDigits - len(digits)
	low, err := strconv.ParseUint(digits+strings.Repeat("0", rest), 10, 64)
	high, overflow := strconv.ParseUint(digits+strings.Repeat("9", rest), 10, 64)
	if err != nil {
		low = uint64(latestTime)
	}
	if overflow != nil {
		high = uint64(latestTime)
	}
	return time.Duration(min(low, uint64(latestTime))), time.Duration(min(high, uint64(latestTime)))
}

// mayMatch reports whether chunks with keys between two times may hold events that
// the query still needs.
func (r *chunkReader) mayMatch(first, last time.Duration) bool {
	return (r.filter.To == 0 || first <= r.filter.To) && last >= max(r.filter.From, r.enough)-chunkSpan
}

// chunk reads one chunk and reports whether the search goes on.
func (r *chunkReader) chunk(ctx context.Context, key string) (bool, error) {
	at, instance, ok := parseChunkKey(key)
	if !ok || !r.mayMatch(at, at) || r.filter.Instance != "" && r.filter.Instance != instance {
		return true, nil
	}
	if r.chunks++; r.chunks > maxChunks {
		r.stopped = at
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
	if r.enough == 0 && len(r.events) >= r.limit {
		r.enough = at
	}
	return true, nil
}

// incomplete says what a bound left out; it is empty if nothing.
func (r *chunkReader) incomplete() string {
	if r.stopped == 0 {
		return ""
	}
	return fmt.Sprintf("the search ended after %d chunks at %s; narrow it by time, instance or target",
		min(r.chunks, maxChunks), time.Unix(0, int64(r.stopped)).UTC().Format(time.DateTime))
}
