package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gorseline/core"
)

// The scan must find a pair with the earliest finish of all pairs; a pair that it skips
// would make the comparison with other policies unfair.
func TestScanFindsBestPair(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	finish := func(p, d *slot) time.Duration { return max(p.ready, d.start) + d.answer }
	for round := range 2000 {
		slots := make([]slot, 2+r.IntN(10))
		byID := map[core.TargetID]*slot{}
		for i := range slots {
			s := &slots[i]
			s.state = &core.TargetState{Target: core.Target{ID: core.TargetID(rune('a' + i))}}
			s.start = time.Duration(r.IntN(50)) * time.Second
			s.role, s.ready = core.RolePrefill, s.start+time.Duration(r.IntN(20))*time.Second
			if r.IntN(2) == 0 {
				s.role, s.answer = core.RoleDecode, time.Duration(1+r.IntN(20))*time.Second
			}
		}
		slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.start, b.start) })
		least := time.Duration(-1)
		for i := range slots {
			byID[slots[i].state.ID] = &slots[i]
			for j := range slots {
				if slots[i].role != core.RolePrefill || slots[j].role != core.RoleDecode {
					continue
				}
				if f := finish(&slots[i], &slots[j]); least < 0 || f < least {
					least = f
				}
			}
		}
		got := scan(&core.Request{OutputTokens: 10}, slots)
		if got.Found() != (least >= 0) {
			t.Fatalf("round %d: found %v, least finish %v", round, got.Found(), least)
		}
		if got.Found() && finish(byID[got.Prefill], byID[got.Target]) != least {
			t.Fatalf("round %d: not the earliest finish", round)
		}
	}
}
