package streamstart

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// Tag stands for a version of a service in messages. Instances find the version among those
// that they have seen. Tags of other services match none of them.
type Tag uint32

// NewTag returns the tag of a version.
func NewTag(service core.Service, version core.SoftwareVersion) Tag {
	return Tag(xxhash.Sum64String(string(service) + "\x00" + string(version)))
}

// HashRequest returns the hash that stands for a request in records.
func HashRequest(id core.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// Record states at which version a stream began.
type Record struct {
	Request uint64
	Tag     Tag
	Expires core.Instant
}

// expirySlack is how long a record is kept after the caller's deadline.
const expirySlack = 5 * time.Second

type entry struct {
	tag     Tag
	expires core.Instant
	// service is set in the entries of streams that this instance relays.
	service core.Service
	// isPublished is set once the record was given to the homes.
	isPublished bool
	// isConflicting is set if records of different versions were seen.
	isConflicting bool
}

// table holds records until they expire. If it is full, it drops the oldest.
type table struct {
	capacity int
	entries  map[uint64]*entry
	// order lists the keys of entries in the order of their insertion, and of some that have
	// been removed.
	order   []uint64
	evicted uint64
}

func newTable(capacity int) table {
	return table{capacity: capacity, entries: map[uint64]*entry{}}
}

func (t *table) get(now core.Instant, request uint64) *entry {
	if e := t.entries[request]; e != nil && now < e.expires {
		return e
	}
	return nil
}

// put adds a record and returns its entry.
func (t *table) put(now core.Instant, r Record) *entry {
	if e := t.get(now, r.Request); e != nil {
		e.isConflicting = e.isConflicting || e.tag != r.Tag
		e.expires = max(e.expires, r.Expires)
		return e
	}
	if _, expired := t.entries[r.Request]; !expired {
		for len(t.entries) >= t.capacity {
			t.evictOldest(now)
		}
		t.order = append(t.order, r.Request)
	}
	e := &entry{tag: r.Tag, expires: r.Expires}
	t.entries[r.Request] = e
	return e
}

func (t *table) evictOldest(now core.Instant) {
	oldest := t.order[0]
	t.order = t.order[1:]
	if e, ok := t.entries[oldest]; ok {
		delete(t.entries, oldest)
		if now < e.expires {
			t.evicted++
		}
	}
}

// expire removes expired entries.
func (t *table) expire(now core.Instant) {
	kept := t.order[:0]
	for _, request := range t.order {
		e, ok := t.entries[request]
		if ok && now < e.expires {
			kept = append(kept, request)
			continue
		}
		delete(t.entries, request)
	}
	t.order = kept
}
