package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/reach"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/target"
)

const (
	// probePathInterval is the time between two probes of a service whose path is lost. A probe opens
	// connections to probePathTargets targets at a time, each within probePathTimeout.
	probePathInterval = 250 * time.Millisecond
	probePathTargets  = 4
	probePathTimeout  = 120 * time.Millisecond
)

// pathProber finds out when targets can be reached again, without a request.
type pathProber struct {
	paths  *reach.Paths
	roster *roster.Roster
	health *retry.Health
	peers  core.DetourPeerProvider
	dial   target.DialFunc
	clock  core.ClockProvider
	log    log.Interface
	// next is the index of the next target to probe. Only Run uses it.
	next int
	done chan struct{}
}

func newPathProber(
	lc fx.Lifecycle, paths *reach.Paths, r *roster.Roster, h *retry.Health, peers core.DetourPeerProvider, dial target.DialFunc,
	clock core.ClockProvider, l log.Interface,
) *pathProber {
	p := &pathProber{paths: paths, roster: r, health: h, peers: peers, dial: dial, clock: clock, log: l, done: make(chan struct{})}
	lifecycle.Register(lc, p)
	return p
}

// Done returns a channel that is closed when Run has ended.
func (p *pathProber) Done() <-chan struct{} { return p.done }

// Run probes targets of services whose paths are lost until ctx ends.
func (p *pathProber) Run(ctx context.Context) {
	defer close(p.done)
	ticker := time.NewTicker(probePathInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.paths.LostChanged():
		case <-ticker.C:
		}
		for _, lost := range p.paths.Lost() {
			p.probe(ctx, lost)
		}
	}
}

// probe connects to some targets of a service at a time, first to those to which no connection has
// failed. Without targets there is no path to lose.
func (p *pathProber) probe(ctx context.Context, lost reach.LostPath) {
	ready := p.roster.View().Ready(lost.Service)
	var untried, failed []*roster.Entry
	for _, e := range ready {
		if slices.Contains(lost.Targets, e.ID) {
			failed = append(failed, e)
		} else {
			untried = append(untried, e)
		}
	}
	var connected []*roster.Entry
	var mu sync.Mutex
	var dials sync.WaitGroup
	for _, e := range p.nextTargets(untried, failed) {
		dials.Go(func() {
			if !p.connect(ctx, e, len(ready)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			connected = append(connected, e)
		})
	}
	dials.Wait()
	if len(connected) == 0 && len(ready) > 0 {
		return // the log line TargetsUnreached tells
	}
	reached := make([]core.TargetID, len(connected))
	for i, e := range connected {
		reached[i] = e.ID
	}
	since, wasCut := p.paths.RecordConnected(p.clock.Now(), lost.Service, reached...)
	if !wasCut {
		return // a request has found out before
	}
	// If one of these can be reached again, what is known of the health of all was about the path.
	if slices.ContainsFunc(connected, func(e *roster.Entry) bool { return slices.Contains(failed, e) }) {
		for _, e := range failed {
			p.health.Forget(e.ID)
		}
	}
	p.log.WithFields(log.Fields{
		"Service": lost.Service, "Ready": len(ready), "Failed": len(failed), "LostMs": since.Milliseconds(),
	}).Warn("TargetsReached")
	p.peers.AnnouncePaths()
}

// nextTargets returns the targets of the next probe, at most probePathTargets.
func (p *pathProber) nextTargets(untried, failed []*roster.Entry) []*roster.Entry {
	targets := untried[:min(len(untried), probePathTargets)]
	for i := 0; i < len(failed) && len(targets) < probePathTargets; i++ {
		p.next++
		targets = append(targets, failed[p.next%len(failed)])
	}
	return targets
}

// connect reports whether a connection to a target can be opened.
func (p *pathProber) connect(ctx context.Context, e *roster.Entry, ready int) bool {
	ctx, cancel := context.WithTimeout(ctx, probePathTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp", e.Address)
	if err != nil {
		p.paths.RecordFailed(p.clock.Now(), e.Service, e.ID, ready)
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}
