package configuration

import (
	"math/rand/v2"
	"testing"
	"time"

	"gorseline/core"
)

// deliver applies revisions 1 to 20, duplicated and shuffled, and returns how often the
// revision in force decreased.
func deliver(a *Applier) (reverts int) {
	var updates []Update
	for r := core.Revision(1); r <= 20; r++ {
		full := Update{Revision: r, PresetInForce: "P"}
		updates = append(updates, full, full, Update{From: r - 1, Revision: r, PresetInForce: "P"})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	rng.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
	last := core.Revision(0)
	for _, u := range updates {
		a.Apply(u)
		if a.Revision() < last {
			reverts++
		}
		last = a.Revision()
	}
	return reverts
}

// Guards against a revision that reverts when pushes are duplicated, reordered or late. The
// mutant verifies that the test detects a missing revision check.
func TestAppliedRevisionsNeverRevert(t *testing.T) {
	a := NewApplier()
	if reverts := deliver(a); reverts != 0 || a.Revision() != 20 {
		t.Errorf("%d reverts, revision %d", reverts, a.Revision())
	}
	if counts := a.Counts(); counts.Stale+counts.Applied+counts.Gap != 60 || counts.Stale == 0 {
		t.Errorf("counts %+v", counts)
	}
	mutant := NewApplier()
	mutant.DisableRevisionCheck()
	if deliver(mutant) == 0 {
		t.Error("no revert without the revision check")
	}
}

// Guards against a slow subscriber that blocks the applier or reads an outdated revision.
func TestSubscribersReadTheNewestRevision(t *testing.T) {
	a := NewApplier()
	ch, cancel := a.Subscribe()
	a.Apply(Update{Revision: 1})
	a.Apply(Update{Revision: 2})
	if got := <-ch; got != 2 {
		t.Errorf("read revision %d", got)
	}
	cancel()
	a.Apply(Update{Revision: 3})
	if len(ch) != 0 {
		t.Error("a cancelled subscription received a revision")
	}
}

// Guards against an instance that accepts new work without a configuration, when isolated,
// or when it knows of a newer revision that it has not applied.
func TestReadinessNeedsAConfirmedRevision(t *testing.T) {
	a := NewApplier()
	detector := NewIsolationDetector(a)
	at := func(d time.Duration) core.Instant { return core.Instant(d) }
	detector.RecordContact(at(0), 0)
	if detector.Ready(at(0)).Ready {
		t.Error("ready without a configuration")
	}
	a.Apply(Update{Revision: 5})
	detector.RecordContact(at(time.Second), 5)
	if r := detector.Ready(at(10 * time.Second)); !r.Ready {
		t.Errorf("9 s after a contact: %s", r.Reason)
	}
	detector.RecordContact(at(10*time.Second), 6)
	if detector.Ready(at(10*time.Second + 1)).Ready {
		t.Error("ready although a newer revision has been known for too long")
	}
	a.Apply(Update{Revision: 6})
	detector.RecordContact(at(11*time.Second), 6)
	if r := detector.Ready(at(12 * time.Second)); !r.Ready {
		t.Errorf("after catching up: %s", r.Reason)
	}
}
