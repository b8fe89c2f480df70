package reach

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"gorseline/core"
)

const (
	// cutTargets is the number of targets, or all if there are fewer, to which connections must fail
	// before the path to the service counts as lost.
	cutTargets = 3
	// failureTime is how long a failed connection counts.
	failureTime = 3 * time.Second
)

// Paths knows to which services new connections fail here. Open connections may go on while new ones
// are refused, so answers on them say nothing. It is safe for concurrent use.
type Paths struct {
	// lost has a value after a path was lost.
	lost chan struct{}

	mu       sync.Mutex
	services map[core.Service]*path
}

// path is the path to the targets of one service.
type path struct {
	// failed holds when a connection to a target failed last, by target, since one to any succeeded.
	failed map[core.TargetID]core.Instant
	// alone holds the same for targets that failed while others could be reached. That says nothing
	// about the path.
	alone map[core.TargetID]core.Instant
	isCut bool
	since core.Instant
}

// NewPaths returns a Paths without failures.
func NewPaths() *Paths {
	return &Paths{lost: make(chan struct{}, 1), services: map[core.Service]*path{}}
}

// LostChanged returns a channel that has a value after a path was lost.
func (p *Paths) LostChanged() <-chan struct{} { return p.lost }

// RecordFailed records a failed connection to a target of a service with a number of ready targets. It
// returns true if the path counts as lost from now on.
func (p *Paths) RecordFailed(now core.Instant, service core.Service, target core.TargetID, ready int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[service]
	if !ok {
		s = &path{failed: map[core.TargetID]core.Instant{}, alone: map[core.TargetID]core.Instant{}}
		p.services[service] = s
	}
	if !s.isCut {
		removeOld(now, s.failed)
		removeOld(now, s.alone)
	}
	if _, isAlone := s.alone[target]; isAlone && !s.isCut {
		s.alone[target] = now
		return false
	}
	delete(s.alone, target)
	s.failed[target] = now
	if len(s.failed) < min(cutTargets, max(1, ready-len(s.alone))) {
		return false
	}
	return p.cut(now, s)
}

// RecordNoTarget records that no target of a service is left to try. It returns true if the path counts
// as lost from now on, because connections to some of them have failed.
func (p *Paths) RecordNoTarget(now core.Instant, service core.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[service]
	return ok && s.hasFailed(now) && p.cut(now, s)
}

// cut returns false if the path was lost before.
func (p *Paths) cut(now core.Instant, s *path) bool {
	if s.isCut {
		return false
	}
	s.isCut, s.since = true, now
	select {
	case p.lost <- struct{}{}:
	default:
	}
	return true
}

func removeOld(now core.Instant, failures map[core.TargetID]core.Instant) {
	maps.DeleteFunc(failures, func(_ core.TargetID, at core.Instant) bool { return now.Sub(at) > failureTime })
}

func (s *path) hasFailed(now core.Instant) bool {
	for _, failures := range []map[core.TargetID]core.Instant{s.failed, s.alone} {
		for _, at := range failures {
			if now.Sub(at) <= failureTime {
				return true
			}
		}
	}
	return false
}

// RecordConnected records new connections to targets of a service; none are needed if the service has
// no targets. It returns for how long the path had counted as lost, or false if it hadn't.
func (p *Paths) RecordConnected(now core.Instant, service core.Service, targets ...core.TargetID) (lost time.Duration, wasCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[service]
	if !ok {
		return 0, false
	}
	lost, wasCut = now.Sub(s.since), s.isCut
	maps.Copy(s.alone, s.failed)
	clear(s.failed)
	for _, id := range targets {
		delete(s.alone, id)
	}
	removeOld(now, s.alone)
	s.isCut = false
	if len(s.alone) == 0 {
		delete(p.services, service)
	}
	return lost, wasCut
}

// IsCut reports whether the path to a service is lost.
func (p *Paths) IsCut(service core.Service) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.services[service]
	return ok && s.isCut
}

// LostPath is a service whose targets can't be reached, with those to which connections have failed.
type LostPath struct {
	Service core.Service
	Targets []core.TargetID
}

// Lost returns the lost paths, ordered by service.
func (p *Paths) Lost() []LostPath {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []LostPath
	for service, s := range p.services {
		if s.isCut {
			list = append(list, LostPath{service, slices.Sorted(maps.Keys(s.failed))})
		}
	}
	slices.SortFunc(list, func(a, b LostPath) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
