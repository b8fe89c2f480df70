package targetlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/targetlimit"
)

var target = &core.Registration{Target: core.Target{ID: "i-1"}, Started: 5}

// window is the time in which the requests to a target are counted.
const window = 4 * time.Second

// fleet is a number of instances that know the same facts.
type fleet []*targetlimit.Limits

func newFleet(size int) fleet {
	ids := make([]core.InstanceID, size)
	for i := range ids {
		ids[i] = core.InstanceID(fmt.Sprintf("n%d", i))
	}
	f := make(fleet, size)
	for i := range f {
		f[i] = targetlimit.New(ids[i])
		f[i].SetPeers(append(append([]core.InstanceID(nil), ids[:i]...), ids[i+1:]...))
		f[i].SetInstances(size)
	}
	return f
}

// learn makes all instances learn a limit.
func (f fleet) learn(rate float64) {
	const now = core.Instant(0)
	fact, _ := f[0].Observe(now, target, targetlimit.Statement{Rate: rate, IsStated: true, SentAt: now - 1})
	for _, l := range f[1:] {
		l.Merge(now, fact)
	}
}

// most returns the largest number of requests within window between two times, when each instance
// sends as much as it may.
func (f fleet) most(from, to core.Instant) (most int) {
	var times []core.Instant
	first := 0
	for now := from; now < to; now = now.Add(5 * time.Millisecond) {
		for _, l := range f {
			for sent := 0; sent < 1000 && l.Ready(now, target) && l.Take(now, target); sent++ {
				times = append(times, now)
			}
		}
		for first < len(times) && now.Sub(times[first]) >= window {
			first++
		}
		most = max(most, len(times)-first)
	}
	return most
}

// Guards against a limit that is exceeded by all instances together, whatever the size of the fleet,
// and against one that is hardly used.
func TestFleetKeepsToTheLimit(t *testing.T) {
	for _, size := range []int{1, 2, 7, 24, 80, 680} {
		for _, rate := range []float64{0, 0.05, 0.3, 1, 1.9, 2.5, 9.9, 33.3, 250, 2000} {
			f := newFleet(size)
			f.learn(rate)
			got := f.most(0, core.Instant(12*time.Second))
			allowed := 1.5*rate*window.Seconds() + 5
			if float64(got) > allowed {
				t.Errorf("%d instances, limit %v: %d requests, allowed %.0f", size, rate, got, allowed)
			}
			if least := 0.75 * rate * window.Seconds(); float64(got) < least || got == 0 {
				t.Errorf("%d instances, limit %v: only %d requests, want %.0f", size, rate, got, least)
			}
		}
	}
}

// Guards against a limit that is exceeded while instances disagree on the members: some have just
// started, some still count others that have ended.
func TestLimitHoldsWhileMembersDiffer(t *testing.T) {
	rng := rand.New(rand.NewPCG(33, 2))
	for _, size := range []int{7, 80} {
		for range 30 {
			f := newFleet(size)
			for i, l := range f {
				var peers []core.InstanceID
				for j := range f {
					if j != i && rng.Float64() < 0.9 {
						peers = append(peers, core.InstanceID(fmt.Sprintf("n%d", j)))
					}
				}
				l.SetPeers(peers)
			}
			rate := 5 + 10*rng.Float64()
			f.learn(rate)
			if got, allowed := f.most(0, core.Instant(10*time.Second)), int(1.5*rate*window.Seconds()+5); got > allowed {
				t.Errorf("%d instances, limit %.1f: %d requests, allowed %d", size, rate, got, allowed)
			}
		}
	}
}

// Guards against a limit that ends or rises by an answer that was sent before the latest statement, and
// against one that doesn't follow its target.
func TestLatestStatementDecides(t *testing.T) {
	stated := func(rate float64, sentAt core.Instant) targetlimit.Statement {
		return targetlimit.Statement{Rate: rate, IsStated: true, SentAt: sentAt}
	}
	none := func(sentAt core.Instant) targetlimit.Statement { return targetlimit.Statement{SentAt: sentAt} }
	tests := map[string]struct {
		statements []targetlimit.Statement
		rate       float64
		isOver     bool
	}{
		"none after":          {[]targetlimit.Statement{stated(9, 1), none(15)}, 9, true},
		"none overtaken":      {[]targetlimit.Statement{stated(9, 1), none(5)}, 9, false},
		"higher overtaken":    {[]targetlimit.Statement{stated(9, 1), stated(20, 5)}, 9, false},
		"higher after":        {[]targetlimit.Statement{stated(9, 1), stated(20, 15)}, 20, false},
		"lower at any time":   {[]targetlimit.Statement{stated(9, 1), stated(4, 5)}, 4, false},
		"again":               {[]targetlimit.Statement{stated(9, 1), none(15), stated(3, 25)}, 3, false},
		"confirmed, then old": {[]targetlimit.Statement{stated(9, 1), stated(9, 12), none(15)}, 9, false},
	}
	for name, test := range tests {
		l := targetlimit.New("n")
		now := core.Instant(10)
		for _, s := range test.statements {
			l.Observe(now, target, s)
			now += 10
		}
		got, ok := l.State(target.ID)
		if !ok || got.Rate != test.rate || got.IsOver != test.isOver {
			t.Errorf("%s: %+v, known %v", name, got, ok)
		}
	}
}

// Guards against instances that end up with different facts, in whatever order they hear of them, and
// against a limit of a process that holds for the next one.
func TestFactsConverge(t *testing.T) {
	facts := []targetlimit.Fact{
		{Target: "i-1", Started: 5, Revision: 1, Rate: 9},
		{Target: "i-1", Started: 5, Revision: 2, Rate: 9, IsOver: true},
		{Target: "i-1", Started: 5, Revision: 2, Rate: 12},
		{Target: "i-1", Started: 5, Revision: 2, Rate: 4},
		{Target: "i-1", Started: 4, Revision: 9, Rate: 1},
	}
	for i := range facts {
		for _, step := range []int{1, 2, 3, 4} {
			l := targetlimit.New("n")
			for k := range facts {
				l.Merge(0, facts[(i+k*step)%len(facts)])
			}
			if got, _ := l.State("i-1"); got.Fact != facts[3] {
				t.Errorf("%+v, want %+v", got.Fact, facts[3])
			}
		}
	}
	l := targetlimit.New("n")
	l.Merge(0, targetlimit.Fact{Target: "i-1", Started: 4, Revision: 1, Rate: 1})
	if !l.Take(0, target) {
		t.Error("the limit of an earlier process holds for the target")
	}
}

// Guards against a refusal whose retry delay ends before there is room.
func TestWaitEndsWithRoom(t *testing.T) {
	f := newFleet(1)
	f.learn(4)
	wait, isLimited, never := f[0].Wait(0, target)
	if !isLimited || never || wait <= 0 {
		t.Fatalf("wait %v, limited %v, never %v", wait, isLimited, never)
	}
	if f[0].Ready(core.Instant(wait/2), target) || !f[0].Ready(core.Instant(wait+time.Millisecond), target) {
		t.Error("no room after the wait, or before it")
	}
	other := newFleet(40)
	other.learn(1)
	users := 0
	for _, l := range other {
		if _, _, never := l.Wait(0, target); !never {
			users++
		}
	}
	if users != 1 {
		t.Errorf("%d instances use a target that takes one request a second", users)
	}
}

// BenchmarkReady measures the check of a target, without limits and beside 100 limited ones.
func BenchmarkReady(b *testing.B) {
	for _, limited := range []int{0, 100} {
		b.Run(fmt.Sprint(limited), func(b *testing.B) {
			l := newFleet(680)[0]
			for i := range limited {
				l.Merge(0, targetlimit.Fact{Target: core.TargetID(fmt.Sprint("x", i)), Revision: 1, Rate: 9})
			}
			b.ReportAllocs()
			for i := range b.N {
				l.Ready(core.Instant(i), target)
			}
		})
	}
}
