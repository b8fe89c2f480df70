package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"gorseline/io/target"
	standin "gorseline/standin/platform"
)

// cutKind is how the connections of an instance to targets fail.
type cutKind string

const (
	// cutHang makes open connections and new ones hang.
	cutHang cutKind = "Hang"
	// cutReset resets open connections and refuses new ones.
	cutReset cutKind = "Reset"
	// cutNew leaves open connections alone and refuses new ones.
	cutNew cutKind = "New"
)

// links are the connections of one instance to the targets.
type links struct {
	// isTarget reports whether an address is that of a target.
	isTarget func(address string) bool

	mu    sync.Mutex
	kind  cutKind // empty: not cut
	conns map[*link]bool
}

func newLinks(s *site) *links {
	return &links{conns: map[*link]bool{}, isTarget: func(address string) bool {
		return slices.ContainsFunc(s.targets, func(tg *standin.Target) bool { return tg.Address() == address })
	}}
}

// option makes an instance use the links.
func (l *links) option() fx.Option {
	return fx.Decorate(func(dial target.DialFunc) target.DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			if !l.isTarget(address) {
				return dial(ctx, network, address)
			}
			switch l.current() {
			case cutHang:
				<-ctx.Done()
				return nil, ctx.Err()
			case cutReset, cutNew:
				return nil, errors.New("connection refused")
			}
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := &link{Conn: conn, links: l}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.conns[c] = true
			return c, nil
		}
	})
}

func (l *links) current() cutKind {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kind
}

// cut begins a cut, or ends it if the kind is empty.
func (l *links) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = kind
	if kind == cutReset {
		for c := range l.conns {
			_ = c.Conn.Close()
		}
	}
}

// link is a connection to a target, which a cut makes hang.
type link struct {
	net.Conn
	links *links

	mu       sync.Mutex
	deadline time.Time
}

// SetDeadline also bounds a read that hangs.
func (c *link) SetDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	return c.Conn.SetDeadline(at)
}

// SetReadDeadline also bounds a read that hangs.
func (c *link) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.deadline = at
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(at)
}

// Read drops what arrives during a cut that makes connections hang.
func (c *link) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if c.links.current() != cutHang {
			return n, err
		}
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return 0, err
		}
		if err != nil {
			time.Sleep(min(time.Until(deadline), 10*time.Millisecond))
		}
	}
}

// Write drops what is sent during a cut that makes connections hang.
func (c *link) Write(b []byte) (int, error) {
	if c.links.current() == cutHang {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close ends the connection.
func (c *link) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// tries counts the first tries at one instance.
type tries struct {
	mu           sync.Mutex
	sent, served int
	wrong        []string
}

func (c *tries) record(id string, got reply, isStream bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case got.status != 200:
	case isStream && strings.Count(got.body, "id: ") != 4, !isStream && got.body != "answer to "+id:
		c.wrong = append(c.wrong, fmt.Sprintf("%s: %.60q", id, got.body))
	default:
		c.served++
	}
}

// share returns the share of served requests.
func (c *tries) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.served) / float64(max(1, c.sent))
}

// load sends requests on all routes to the instances for a time, and returns the counts by instance.
func (s *site) load(prefix string, length time.Duration, list ...*instance) []*tries {
	counts := make([]*tries, len(list))
	var senders sync.WaitGroup
	until := time.Now().Add(length)
	for n, inst := range list {
		counts[n] = &tries{}
		for m, route := range []string{"once", "repeatable", "stream"} {
			senders.Go(func() {
				for i := 0; time.Now().Before(until); i++ {
					id := fmt.Sprintf("%s-%d-%d-%d", prefix, n, m, i)
					got := inst.call(s.t, "/"+route+"/x", id, promptOf(route, id)...)
					counts[n].record(id, got, route == "stream")
					time.Sleep(25 * time.Millisecond)
				}
			})
		}
	}
	senders.Wait()
	return counts
}

// Guards against callers who are served worse because the instance that they have chosen reaches no
// target while others do.
func TestInstanceWithoutTargetsServesThroughOthers(t *testing.T) {
	for _, kind := range []cutKind{cutHang, cutReset, cutNew} {
		t.Run(string(kind), func(t *testing.T) {
			s := newSite(t)
			l := newLinks(s)
			list := []*instance{s.start("n1", l.option()), s.start("n2"), s.start("n3")}
			s.waitForMembers(list...)
			s.load("before", time.Second, list...)
			l.cut(kind)
			s.load("early", contactTime, list...)
			counts := s.load("cut", 2*time.Second, list...)
			for n, c := range counts {
				if c.sent < 30 || c.share() < 0.95 {
					t.Errorf("%s served %.2f of %d requests", list[n].settings.Instance, c.share(), c.sent)
				}
				if len(c.wrong) > 0 {
					t.Errorf("wrong answers: %v", c.wrong)
				}
			}
			runs := map[string]int{}
			for _, tg := range s.targets {
				for _, r := range tg.Runs() {
					if runs[r.ID]++; runs[r.ID] > 1 && strings.Contains(r.Path, "/once/") {
						t.Errorf("%s ran twice", r.ID)
					}
				}
			}
			l.cut("")
			s.load("after", time.Second, list[0])
			before := strings.Count(list[0].output.String(), "Event=RequestDetoured")
			if c := s.load("healed", time.Second, list[0])[0]; c.share() < 0.95 {
				t.Errorf("%.2f of %d requests are served after the cut", c.share(), c.sent)
			}
			if after := strings.Count(list[0].output.String(), "Event=RequestDetoured"); after != before {
				t.Errorf("%d requests went through others after the cut", after-before)
			}
		})
	}
}

// Guards against requests that go on taking detours while one target of several can be reached, and
// after targets have started again.
func TestDetourEndsWhenATargetIsReached(t *testing.T) {
	s := newRequestCrashSite(t, "calls", "", 4)
	list := []*instance{s.start("n1"), s.start("n2")}
	s.waitForMembers(list...)
	s.load("before", 300*time.Millisecond, list...)
	for _, tg := range s.engines[1:] {
		tg.CrashPath("/bad", 3*time.Second)
		tg.Crash()
	}
	s.load("early", 300*time.Millisecond, list...)
	detours := func() (count int) {
		for _, i := range list {
			count += strings.Count(i.output.String(), "Event=RequestDetoured")
		}
		return count
	}
	before := detours()
	for n, c := range s.load("late", 500*time.Millisecond, list...) {
		if c.share() < 0.9 {
			t.Errorf("%s served %d of %d requests", list[n].settings.Instance, c.served, c.sent)
		}
	}
	if after := detours(); after > before+2 {
		t.Errorf("%d requests took a detour", after-before)
	}
}

// Guards against requests of other instances that are cut when the instance that forwards them leaves.
func TestLeavingInstanceFinishesDetours(t *testing.T) {
	s := newSite(t)
	l := newLinks(s)
	list := []*instance{s.start("n1", l.option()), s.start("n2")}
	s.waitForMembers(list...)
	l.cut(cutReset)
	// Without these the instance can't tell whether the last request will end in time.
	s.load("learn", time.Second, list...)
	for _, tg := range s.targets[:2] {
		tg.SetProcessingTime(600 * time.Millisecond)
	}
	var calls sync.WaitGroup
	for n := range 4 {
		calls.Go(func() {
			id := fmt.Sprintf("r%d", n)
			if got := list[0].call(t, "/once/x", id); got.status != 200 || got.body != "answer to "+id {
				t.Errorf("%s: %+v", id, got)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	list[1].drain()
	calls.Wait()
}

// Guards against a holder of the leases that keeps them although it reaches no engine, so that nobody
// can order roles.
func TestHolderWithoutTargetsHandsLeasesOver(t *testing.T) {
	s := newSite(t)
	l := []*links{newLinks(s), newLinks(s), newLinks(s)}
	var list []*instance
	for i := range l {
		list = append(list, s.start(fmt.Sprintf("n%d", i+1), l[i].option()))
	}
	holder := func() int { return slices.IndexFunc(list, func(i *instance) bool { return i.holdsLease() }) }
	s.eventually(10*time.Second, "an instance holds the leases", func() bool { return holder() >= 0 })
	first := holder()
	l[first].cut(cutReset)
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.load("cut", 100*time.Millisecond, list[first])
			}
		}
	})
	s.eventually(40*time.Second, "another instance holds the leases", func() bool {
		next := holder()
		return next >= 0 && next != first
	})
	close(stop)
	senders.Wait()
}

// holdsLease reports whether the instance may order roles.
func (i *instance) holdsLease() bool {
	gauge, ok := i.registry.Get("LeasesHeld").(metrics.Gauge)
	return ok && gauge.Value() > 0
}
