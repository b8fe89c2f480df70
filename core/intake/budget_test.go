package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// newHold returns a hold that records whether it has been cut and, as its reader does, is closed then.
func newHold(b *Budget) (h core.IntakeHold, isCut *bool) {
	isCut = new(bool)
	h = b.NewHold(func() {
		*isCut = true
		go h.Close()
	})
	return h, isCut
}

// arrive reserves bytes and notes their arrival.
func arrive(h core.IntakeHold, bytes int64) bool {
	if !h.Reserve(bytes) {
		return false
	}
	h.RecordArrival(bytes)
	return true
}

func TestBudget_unfinishedAndSlowIsCutFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(16*mib, core.NewProcessClock())
		stalled, isStalledCut := newHold(b)
		large, isLargeCut := newHold(b)
		passedOn, isPassedOnCut := newHold(b)
		moving, isMovingCut := newHold(b)
		if !arrive(stalled, 3*mib) || !arrive(large, 4*mib) || !arrive(passedOn, 5*mib) || !passedOn.Finish() {
			t.Fatal("refused with room left")
		}
		for range 4 {
			time.Sleep(progressWindow)
			if !arrive(moving, 512*kib) {
				t.Fatal("refused with room left")
			}
		}
		newcomer, _ := newHold(b)
		if !arrive(newcomer, 4*mib) {
			t.Error("refused although a slow request can make room")
		}
		if !*isLargeCut || *isStalledCut || *isPassedOnCut || *isMovingCut {
			t.Errorf("cut: large %v, stalled %v, passed on %v, moving %v", *isLargeCut, *isStalledCut, *isPassedOnCut, *isMovingCut)
		}
		if large.Finish() || large.Reserve(1) {
			t.Error("a request that has been cut goes on")
		}
	})
}

func TestBudget_refusesWithoutSlowRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(16*mib, core.NewProcessClock())
		first, isCut := newHold(b)
		second, _ := newHold(b)
		if !arrive(first, 14*mib) || arrive(second, 2*mib) || *isCut {
			t.Fatalf("the second of two requests is refused, the first one is not cut (%v)", *isCut)
		}
		if stats := b.Stats(); stats.Refused != 1 || stats.Used != 14*mib {
			t.Errorf("stats %+v", stats)
		}
		if !arrive(second, smallHold) {
			t.Error("a small request is refused, which has room of its own")
		}
		first.Close()
		second.Close()
		if used := b.Stats().Used; used != 0 {
			t.Errorf("%d bytes are held by nobody", used)
		}
	})
}

// Guards against a request that waits for memory which the one that was cut doesn't give back.
func TestBudget_waitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(4*mib, core.NewProcessClock())
		stuck := b.NewHold(func() {})
		if !arrive(stuck, 3*mib) {
			t.Fatal("refused with room left")
		}
		time.Sleep(2 * progressWindow)
		h, _ := newHold(b)
		began := time.Now()
		if arrive(h, mib) || time.Since(began) != releaseWait {
			t.Errorf("waited %v", time.Since(began))
		}
		if stats := b.Stats(); stats.Cut != 1 || stats.Refused != 1 {
			t.Errorf("stats %+v", stats)
		}
	})
}

func TestProgress(t *testing.T) {
	for _, test := range []struct {
		name string
		// each is what arrives every interval, for a time; after it nothing arrives for the pause.
		each            int64
		interval, total time.Duration
		pause           time.Duration
		isSlow          bool
	}{
		{"new", 0, time.Second, 0, 900 * time.Millisecond, false},
		{"nothing", 0, time.Second, 0, 1100 * time.Millisecond, true},
		{"steady", 64 * kib, 500 * time.Millisecond, 10 * time.Second, 0, false},
		{"short pause", mib, 100 * time.Millisecond, time.Second, 900 * time.Millisecond, false},
		{"stopped", mib, 100 * time.Millisecond, 4 * time.Second, 40 * time.Second, true},
		{"after a burst", 0, 900 * time.Millisecond, 0, 900 * time.Millisecond, false},
		{"drops", 1, 900 * time.Millisecond, 20 * time.Second, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := core.Instant(0)
			p := NewProgress(now)
			for ; test.total > 0; test.total -= test.interval {
				now = now.Add(test.interval)
				p = p.WithArrival(now, test.each)
			}
			if now = now.Add(test.pause); p.IsSlow(now) != test.isSlow {
				t.Errorf("slow: %v", !test.isSlow)
			}
		})
	}
}

func BenchmarkBudget(b *testing.B) {
	budget := NewBudget(128*mib, core.NewProcessClock())
	b.ReportAllocs()
	for b.Loop() {
		h := budget.NewHold(func() {})
		if !arrive(h, 4*kib) || !h.Finish() {
			b.Fatal("refused")
		}
		h.Close()
	}
}
