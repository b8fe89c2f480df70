package streamstart

import (
	"slices"
	"sync"
	"time"

	"gorseline/core"
)

// DefaultCapacity is the number of records that an instance holds. An instance with 8 peers that
// relays 100 streams a second, each with a deadline of a minute, needs 60,000.
const DefaultCapacity = 1 << 16

// Register holds the records of one instance and its beliefs about the versions of services. It
// is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	table   table
	history history
	// beliefs holds the last reported belief about each service.
	beliefs map[core.Service]Belief
	// hasUnpublished is set for services with streams whose records the homes don't have.
	hasUnpublished map[core.Service]bool
	// expireAt is when expired records are next removed.
	expireAt core.Instant
}

// New returns an empty register for a number of records.
func New(capacity int) *Register {
	return &Register{
		table: newTable(capacity), history: newHistory(), beliefs: map[core.Service]Belief{},
		hasUnpublished: map[core.Service]bool{},
	}
}

// Counts are the numbers of records that a register holds, and has dropped because it was full.
type Counts struct {
	Held    int
	Evicted uint64
}

// Counts returns the numbers of records.
func (r *Register) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Held: len(r.table.entries), Evicted: r.table.evicted}
}

// Start records a stream that this instance begins or continues to relay. It returns true if the homes need the record,
// because other instances can't know the version otherwise.
func (r *Register) Start(now core.Instant, s core.StreamStart) (Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.see(now, s.Service, s.Version)
	record := Record{HashRequest(s.Request), NewTag(s.Service, s.Version), max(s.Deadline, now).Add(expirySlack)}
	e := r.table.put(now, record)
	e.service = s.Service
	mustPublish := r.history.belief(now, s.Service).Kind != Single
	if mustPublish {
		e.isPublished = true
	} else if !e.isPublished {
		r.hasUnpublished[s.Service] = true
	}
	return record, mustPublish
}

// Hold keeps a record of another instance.
func (r *Register) Hold(now core.Instant, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.put(now, record)
}

// Change is a change of the belief about the versions of a service.
type Change struct {
	Service  core.Service
	From, To Belief
}

// Observe records an observation. It returns the changes of belief, ordered by service, and the
// records that the homes need because of them.
func (r *Register) Observe(now core.Instant, o Observation) (changes []Change, publish []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.observe(now, o)
	if now >= r.expireAt {
		r.expireAt = now.Add(routesInterval)
		r.table.expire(now)
		r.history.expire(now)
	}
	services := make([]core.Service, 0, len(r.history.seen))
	for service := range r.history.seen {
		services = append(services, service)
	}
	slices.Sort(services)
	for _, service := range services {
		before, after := r.beliefs[service], r.history.belief(now, service)
		if after.Kind != Single && r.hasUnpublished[service] {
			publish = append(publish, r.unpublished(now, service)...)
		}
		if before.Kind == after.Kind && slices.Equal(before.Versions, after.Versions) {
			continue
		}
		r.beliefs[service] = after
		changes = append(changes, Change{service, before, after})
	}
	return changes, publish
}

// unpublished returns the records of the streams of a service that this instance relays and has
// not published, which are published from now on.
func (r *Register) unpublished(now core.Instant, service core.Service) []Record {
	delete(r.hasUnpublished, service)
	var records []Record
	for request, e := range r.table.entries {
		if e.service == service && !e.isPublished && now < e.expires {
			e.isPublished = true
			records = append(records, Record{request, e.tag, e.expires})
		}
	}
	return records
}

// Relayed returns the records of streams that this instance relays, published or not.
func (r *Register) Relayed(now core.Instant) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var records []Record
	for request, e := range r.table.entries {
		if e.service != "" && now < e.expires {
			records = append(records, Record{request, e.tag, e.expires})
		}
	}
	return records
}

// Window returns the time after its start within which an instance can't know that a service, and
// those that share routes with it, have a single version.
func (r *Register) Window(service core.Service) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := max(r.history.window(service), defaultWindow+windowSlack)
	for _, other := range r.history.related[service] {
		window = max(window, r.history.window(other))
	}
	return window
}

// Evidence returns what this instance knows about the version at which a stream began.
func (r *Register) Evidence(now core.Instant, service core.Service, request uint64) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.table.get(now, request); e != nil {
		if e.isConflicting {
			return Evidence{Kind: EvidenceMixed}
		}
		return Evidence{Kind: EvidenceRecord, Tag: e.tag}
	}
	switch b := r.history.belief(now, service); b.Kind {
	case Single:
		return Evidence{EvidenceSingle, NewTag(service, b.Versions[0]), b.AsOf}
	case Unconfirmed:
		return Evidence{Kind: EvidenceSeen, Tag: NewTag(service, b.Versions[0])}
	case Mixed:
		return Evidence{Kind: EvidenceMixed}
	default:
		return Evidence{}
	}
}

// Version returns the version of a service that a tag stands for, or false if no such version was
// seen.
func (r *Register) Version(service core.Service, tag Tag) (core.SoftwareVersion, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.version(service, tag)
}
