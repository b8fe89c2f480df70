package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/retry"
)

func newHealth() *retry.Health {
	return retry.NewHealth(retry.DefaultHealthOptions(), random.New(1))
}

// Guards against a target that fails most of its requests and still gets its full share of
// the traffic, and against avoiding targets for a failure share that all of them have.
func TestOutlierIsAvoided(t *testing.T) {
	h := newHealth()
	rng := rand.New(rand.NewPCG(1, 1))
	avoided := map[core.TargetID]int{}
	for i := range 2000 {
		now := core.Instant(i) * core.Instant(10*time.Millisecond)
		for _, id := range []core.TargetID{"good1", "good2", "good3", "bad"} {
			if !h.Usable(now, id) {
				avoided[id]++
				continue
			}
			share := 0.14
			if id == "bad" {
				share = 0.6
			}
			h.RecordAnswer(now, id, "s", rng.Float64() < share)
		}
	}
	if avoided["bad"] < 1000 {
		t.Errorf("the failing target was avoided in %d of 2000 steps", avoided["bad"])
	}
	for _, id := range []core.TargetID{"good1", "good2", "good3"} {
		if avoided[id] > 500 {
			t.Errorf("%s was avoided in %d of 2000 steps", id, avoided[id])
		}
	}
}

// Guards against a target without answers that keeps receiving requests or is never probed.
func TestSilentTargetIsAvoidedAndProbed(t *testing.T) {
	h := newHealth()
	h.RecordNoAnswer(0, "t")
	if !h.Usable(0, "t") {
		t.Error("avoided after one attempt")
	}
	if !h.RecordNoAnswer(0, "t") || h.Usable(0, "t") {
		t.Error("not avoided after two attempts")
	}
	later := core.Instant(time.Second)
	if !h.Usable(later, "t") {
		t.Error("not probed after the open time")
	}
	h.RecordSend(later, "t")
	if h.Usable(later, "t") {
		t.Error("more than one probe")
	}
	h.RecordAnswer(later, "t", "s", false)
	if !h.Usable(later, "t") {
		t.Error("avoided although it answers")
	}
}

// Guards against a continuous flow of requests to a target that refuses all, as during a
// role change.
func TestRefusalsDelayNextRequest(t *testing.T) {
	h := newHealth()
	sends := 0
	for ms := range 3000 {
		now := core.Instant(ms) * core.Instant(time.Millisecond)
		if h.Usable(now, "t") {
			sends++
			h.RecordRefusal(now, "t")
		}
	}
	if sends > 8 {
		t.Errorf("%d sends within 3 s to a target that refuses all", sends)
	}
}
