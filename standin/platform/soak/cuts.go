package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// Limits of the check that instances without targets serve their callers through others.
const (
	// minServedRatio is the least share of first tries served at the instances that are cut off, in
	// relation to that at the others.
	minServedRatio = 2.0 / 3
	// allowedFailures and allowedFailureShare bound the failed first tries at the instances that are cut
	// off, the second one as a share of all first tries.
	allowedFailures, allowedFailureShare = 10, 1.0 / 50
	// minCutTime and maxCutTime bound the length of a cut. The check begins contactTime after its start.
	minCutTime, maxCutTime = 5 * time.Second, 9 * time.Second
)

// links holds the links of each instance to each target, and the cuts.
type links struct {
	// proxies holds the links of an instance by its index, in the order of the targets.
	proxies [][]*proxy
	servers []*http.Server

	mu   sync.Mutex
	cuts []cut
	// isCut and isDown mark instances that are cut off, and targets that are down, by index.
	isCut, isDown map[int]bool
}

// cut is a time for which some instances were cut off from all targets.
type cut struct {
	interval
	kind      cutKind
	instances []string
}

// newLinks starts links between instances and targets. Each instance gets a view of the store with the
// addresses of its own links; addresses holds those of the views.
func newLinks(tb *testbed, instances int) (l *links, addresses []string, err error) {
	l = &links{isCut: map[int]bool{}, isDown: map[int]bool{}}
	for range instances {
		var own []*proxy
		var pairs []string
		for _, t := range tb.targets {
			p, err := newLink(t.Address())
			if err != nil {
				return nil, nil, errors.Wrap(err, "start link")
			}
			own = append(own, p)
			pairs = append(pairs, t.Address(), p.address())
		}
		l.proxies = append(l.proxies, own)
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen for a view of the store")
		}
		server := &http.Server{Handler: &addressView{tb.store.Handler(), strings.NewReplacer(pairs...)}}
		l.servers = append(l.servers, server)
		addresses = append(addresses, listener.Addr().String())
		go l.run(server, listener)
	}
	for i, t := range tb.targets {
		t.OnDown(func(isDown bool) { l.setDown(i, isDown) })
	}
	return l, addresses, nil
}

// newLink starts a link to a target. Its port is reserved: it must be free again after a cut.
func newLink(target string) (*proxy, error) {
	for {
		ports, err := platform.FreePorts(1)
		if err != nil {
			return nil, err
		}
		p, err := newProxyAt(net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[0])), target)
		if !errors.Is(err, syscall.EADDRINUSE) {
			return p, err
		}
	}
}

// run serves a view of the store until the links are closed.
func (l *links) run(s *http.Server, listener net.Listener) { _ = s.Serve(listener) } // ends with ErrServerClosed

func (l *links) close() {
	for i, server := range l.servers {
		_ = server.Close() // the view is no longer in use
		for _, p := range l.proxies[i] {
			p.close()
		}
	}
}

// setDown refuses connections to a target while it is down, as its own address does.
func (l *links) setDown(target int, isDown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isDown[target] = isDown
	for i := range l.proxies {
		if l.isCut[i] {
			continue // heals with the cut
		}
		if isDown {
			_ = l.proxies[i][target].cut(cutReset) // never fails for this kind
		} else if err := l.proxies[i][target].heal(); err != nil {
			panic(err) // the address was free before
		}
	}
}

// cutOff cuts instances off from all targets for a time.
func (l *links) cutOff(ctx context.Context, s *soak, kind cutKind, length time.Duration, instances []int) {
	var names []string
	l.mu.Lock()
	for _, i := range instances {
		if l.isCut[i] {
			continue
		}
		l.isCut[i] = true
		names = append(names, s.instances[i].name)
		for target, p := range l.proxies[i] {
			if !l.isDown[target] {
				s.recordError(p.cut(kind))
			}
		}
	}
	began := time.Now()
	l.mu.Unlock()
	if len(names) == 0 {
		return // others cut them off already
	}
	pause.For(ctx, length)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := cut{interval{began, time.Now()}, kind, names}
	l.cuts = append(l.cuts, c)
	s.recordDisruption(c.interval)
	for _, i := range instances {
		if !slices.Contains(names, s.instances[i].name) {
			continue
		}
		l.isCut[i] = false
		for target, p := range l.proxies[i] {
			if !l.isDown[target] {
				s.recordError(p.heal())
			}
		}
	}
}

// isCutAt reports whether an instance was cut off at a time, or shortly before.
func (l *links) isCutAt(instance string, at time.Time) bool {
	return slices.ContainsFunc(l.cuts, func(c cut) bool {
		return slices.Contains(c.instances, instance) && !at.Before(c.begin) && at.Before(c.end.Add(contactTime))
	})
}

// recordDisruption records an unplanned disruption.
func (s *soak) recordDisruption(d interval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disruptions = append(s.disruptions, d)
}

// cutSome cuts a number of instances off from all targets.
func (s *soak) cutSome(ctx context.Context, rng *rand.Rand, count int) {
	kind := cutKind(rng.IntN(len(cutNames)))
	length := minCutTime + time.Duration(rng.Float64()*float64(maxCutTime-minCutTime))
	s.links.cutOff(ctx, s, kind, length, rng.Perm(len(s.instances))[:count])
}

// cutFaults are the faults beside instances that are cut off from all targets.
var cutFaults = slices.Concat([]fault{
	{"CutOne", func(ctx context.Context, s *soak, rng *rand.Rand) { s.cutSome(ctx, rng, 1) }},
	{"CutThird", func(ctx context.Context, s *soak, rng *rand.Rand) { s.cutSome(ctx, rng, (len(s.instances)+2)/3) }},
	{"CutMost", func(ctx context.Context, s *soak, rng *rand.Rand) { s.cutSome(ctx, rng, len(s.instances)-1) }},
}, instanceFaults, []fault{
	{"Configure", func(ctx context.Context, s *soak, rng *rand.Rand) {
		for range 1 + rng.IntN(4) {
			s.recordError(s.testbed.configure())
			pause.For(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
		}
	}},
})

// cutCheck counts the first tries during one cut, while other instances reach targets.
type cutCheck struct {
	cut
	// isCutAt reports whether an instance was cut off at a time. all names the instances.
	isCutAt                                    func(instance string, at time.Time) bool
	all                                        []string
	cutSent, cutServed, otherSent, otherServed int
}

// add counts a request that was sent while its instance was in touch.
func (c *cutCheck) add(r *result) {
	if r.started.Before(c.begin.Add(contactTime)) || r.started.After(c.end) {
		return
	}
	isReaching := func(instance string) bool { return !c.isCutAt(instance, r.started) }
	if !slices.ContainsFunc(c.all, isReaching) || !slices.Contains(c.instances, r.instance) && !isReaching(r.instance) {
		return // nobody reaches a target, or it counts for another cut
	}
	served := 0
	if r.status == http.StatusOK && r.err == nil {
		served = 1
	}
	if slices.Contains(c.instances, r.instance) {
		c.cutSent, c.cutServed = c.cutSent+1, c.cutServed+served
		return
	}
	c.otherSent, c.otherServed = c.otherSent+1, c.otherServed+served
}

// isViolated reports whether callers of the instances that were cut off were served far worse.
func (c *cutCheck) isViolated() bool {
	if c.cutSent == 0 || c.otherSent == 0 {
		return false
	}
	cutShare, otherShare := float64(c.cutServed)/float64(c.cutSent), float64(c.otherServed)/float64(c.otherSent)
	failed := float64(c.cutSent - c.cutServed)
	return cutShare < minServedRatio*otherShare && failed > allowedFailures+allowedFailureShare*float64(c.cutSent+c.otherSent)
}

func (c *cutCheck) String() string {
	return fmt.Sprintf("%s of %v for %v: served %d of %d first tries, the others %d of %d", cutNames[c.kind],
		c.instances, c.end.Sub(c.begin).Round(100*time.Millisecond), c.cutServed, c.cutSent, c.otherServed, c.otherSent)
}

// checkCuts returns the cuts during which callers were served far worse at the instances that were cut
// off.
func (s *soak) checkCuts(results []result) []string {
	if s.links == nil {
		return nil
	}
	s.crashes.mu.Lock()
	defer s.crashes.mu.Unlock()
	var violations []string
	for _, c := range s.links.cuts {
		check := cutCheck{cut: c, isCutAt: s.links.isCutAt}
		for _, inst := range s.instances {
			check.all = append(check.all, inst.name)
		}
		for i := range results {
			if s.crashes.sent[results[i].id].cause == "" && s.crashes.isInTouch(results[i].instance, results[i].started) {
				check.add(&results[i])
			}
		}
		s.cuts = append(s.cuts, check.String())
		if check.isViolated() {
			violations = append(violations, check.String())
		}
	}
	return violations
}
