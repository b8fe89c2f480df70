package streamstart

import (
	"slices"
	"time"

	"gorseline/core"
)

const (
	// maxAge is the age up to which a view of the targets counts as evidence. Views are confirmed
	// by reads that wait up to 1.5 s for a change, and on followers by announcements of readers
	// whose reads may be 2 s old.
	maxAge = 5 * time.Second
	// windowSlack is added to the longest time for which streams are continued. It covers streams that
	// another instance began on the targets of a view that was maxAge old, and the time until
	// this instance has seen that a target left.
	windowSlack = 10 * time.Second
	// defaultWindow replaces that time while no resumable route to the service is known, and if it
	// is shorter, for streams from before the start of the process.
	defaultWindow = 2 * time.Minute
	// routesInterval is the time between two looks at an unchanged configuration.
	routesInterval = time.Second
)

// Observation is what an instance knows about targets and routes at a time.
type Observation struct {
	// AsOf is the time as of which the targets and routes are known to be complete, valid if
	// IsConfirmed.
	AsOf        core.Instant
	IsConfirmed bool
	// Versions holds the versions of the targets of each service, including those that leave.
	Versions map[core.Service][]core.SoftwareVersion
	// Configuration is nil if none is in force.
	Configuration *core.Forwarding
}

// BeliefKind says what an instance believes about the versions of a service.
type BeliefKind uint8

// Kinds of beliefs.
const (
	// Unseen means that no version was seen.
	Unseen BeliefKind = iota
	// Unconfirmed means that one version was seen, but that others may have been missed.
	Unconfirmed
	// Single means that all streams that may still be continued began at one version.
	Single
	// Mixed means that several versions were seen.
	Mixed
)

var beliefNames = [...]string{"Unseen", "Unconfirmed", "Single", "Mixed"}

// String returns the kind's name.
func (k BeliefKind) String() string { return beliefNames[min(int(k), len(beliefNames)-1)] }

// Belief is what an instance believes about the versions of a service.
type Belief struct {
	Kind BeliefKind
	// Versions holds the versions that streams may have begun at, in alphabetical order.
	Versions []core.SoftwareVersion
	// AsOf is the time as of which this holds, if Kind is Single.
	AsOf core.Instant
}

type routeKey struct{ host, prefix string }

// history remembers the versions of services and the services of routes.
type history struct {
	// seen holds the time at which each version was last seen.
	seen map[core.Service]map[core.SoftwareVersion]core.Instant
	// routes holds the time at which each resumable route last led to a service: a stream
	// that is continued on the route may have begun at any of them.
	routes map[routeKey]map[core.Service]core.Instant
	// related holds the services that share routes with a service, itself included.
	related map[core.Service][]core.Service
	// timeouts holds the longest timeout of the resumable routes to each service so far.
	timeouts map[core.Service]time.Duration

	configuration *core.Forwarding
	nextRoutes    core.Instant
	asOf          core.Instant
	isConfirmed   bool
	// coveredSince is the time since which no gap between confirmations exceeded maxAge, and
	// startedAt the first confirmation.
	coveredSince core.Instant
	startedAt    core.Instant
}

func newHistory() history {
	return history{
		seen:     map[core.Service]map[core.SoftwareVersion]core.Instant{},
		routes:   map[routeKey]map[core.Service]core.Instant{},
		related:  map[core.Service][]core.Service{},
		timeouts: map[core.Service]time.Duration{},
	}
}

// observe records an observation. Its confirmation must be older than its targets.
func (h *history) observe(now core.Instant, o Observation) {
	for service, versions := range o.Versions {
		for _, version := range versions {
			h.see(now, service, version)
		}
	}
	h.observeRoutes(now, o.Configuration)
	if !o.IsConfirmed || h.isConfirmed && o.AsOf <= h.asOf {
		return
	}
	if !h.isConfirmed {
		h.startedAt = o.AsOf
	}
	if !h.isConfirmed || o.AsOf.Sub(h.asOf) > maxAge {
		h.coveredSince = o.AsOf
	}
	h.isConfirmed, h.asOf = true, o.AsOf
}

func (h *history) see(now core.Instant, service core.Service, version core.SoftwareVersion) {
	versions := h.seen[service]
	if versions == nil {
		versions = map[core.SoftwareVersion]core.Instant{}
		h.seen[service] = versions
	}
	versions[version] = now
}

func (h *history) observeRoutes(now core.Instant, c *core.Forwarding) {
	if c == nil || c == h.configuration && now < h.nextRoutes {
		return
	}
	h.configuration, h.nextRoutes = c, now.Add(routesInterval)
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.Resumable {
			continue
		}
		key := routeKey{r.Host, r.Prefix}
		if h.routes[key] == nil {
			h.routes[key] = map[core.Service]core.Instant{}
		}
		for _, s := range r.Splits {
			h.routes[key][s.Service] = now
			h.timeouts[s.Service] = max(h.timeouts[s.Service], r.Timeout)
		}
	}
	h.relate(now)
}

// relate rebuilds the related services from the routes, without those that no stream can have
// used any more.
func (h *history) relate(now core.Instant) {
	clear(h.related)
	for key, services := range h.routes {
		for service, at := range services {
			if now.Sub(at) > h.window(service) {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(h.routes, key)
		}
		for service := range services {
			for other := range services {
				if !slices.Contains(h.related[service], other) {
					h.related[service] = append(h.related[service], other)
				}
			}
		}
	}
}

// window returns the time within which the streams of a service began, or were last continued,
// that may still be continued. Callers may do so for up to twice the timeout of their route.
func (h *history) window(service core.Service) time.Duration {
	if timeout := h.timeouts[service]; timeout > 0 {
		return 2*timeout + windowSlack
	}
	return defaultWindow + windowSlack
}

// coverage returns how long a service must have had one version until its streams can have begun at
// no other. Before the first confirmation the routes may have had longer timeouts.
func (h *history) coverage(service core.Service) time.Duration {
	if h.coveredSince == h.startedAt {
		return max(h.window(service), defaultWindow+windowSlack)
	}
	return h.window(service)
}

// belief returns what the history says about the versions of a service, and of those that share
// routes with it.
func (h *history) belief(now core.Instant, service core.Service) Belief {
	related := h.related[service]
	if len(related) == 0 {
		related = []core.Service{service}
	}
	b := Belief{AsOf: h.asOf}
	covered := h.isConfirmed && now.Sub(h.asOf) <= maxAge
	for _, s := range related {
		window := h.window(s)
		for version, at := range h.seen[s] {
			if now.Sub(at) <= window && !slices.Contains(b.Versions, version) {
				b.Versions = append(b.Versions, version)
			}
		}
		covered = covered && now.Sub(h.coveredSince) >= h.coverage(s)
	}
	slices.Sort(b.Versions)
	switch {
	case len(b.Versions) == 0:
		b.Kind = Unseen
	case len(b.Versions) > 1:
		b.Kind = Mixed
	case covered:
		b.Kind = Single
	default:
		b.Kind = Unconfirmed
	}
	return b
}

// expire forgets versions that no stream can have begun at any more. Tags of records never refer
// to them.
func (h *history) expire(now core.Instant) {
	for service, versions := range h.seen {
		for version, at := range versions {
			if now.Sub(at) > h.window(service) {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.seen, service)
		}
	}
}

// version returns the version of a service that a tag stands for. It returns false if none was
// seen, or several with the same tag.
func (h *history) version(service core.Service, tag Tag) (core.SoftwareVersion, bool) {
	var found core.SoftwareVersion
	matches := 0
	for version := range h.seen[service] {
		if NewTag(service, version) == tag {
			found = version
			matches++
		}
	}
	return found, matches == 1
}
