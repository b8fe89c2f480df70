package bench

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/policy"
)

// oneChange plans a single role change at a fixed time.
type oneChange struct {
	at   core.Instant
	plan core.RoleChange
	done bool
}

func (p *oneChange) Plan(now core.Instant, _ *core.PlacementView) []core.RoleChange {
	if p.done || now < p.at {
		return nil
	}
	p.done = true
	return []core.RoleChange{p.plan}
}

// A role change must drain first: the engine gets no new work, finishes what it has and
// only then goes away for the time of the change. When it crashes in the middle, it must
// come back in its old role and take work again.
func TestRoleChangeDrainsFirst(t *testing.T) {
	for _, crash := range []bool{false, true} {
		d := ledgerpeach()
		s := quick(t, "Day", 2*time.Minute)
		if crash {
			s.CrashRoleChangeFrom = 0.01
		}
		first := d.Engines[0]
		placer := &oneChange{
			at:   core.Instant(20 * time.Second),
			plan: core.RoleChange{Target: first.ID, From: core.RoleDecode, To: core.RolePrefill},
		}
		built, err := policy.New(core.PolicyDocument{Name: "Full", Type: "Full"}, policy.Options{Placer: placer, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		r := newRun(&d, s, newTrace(&d, s, 1), built)
		e := r.engines[0]
		before, busy := 0, 0
		var out time.Duration
		for at := r.now; r.step(); at = r.now {
			if e.change || !e.up {
				out += r.now.Sub(at)
			}
			// One request may be on its way when the change begins.
			if placer.done && r.result.RoleChanges == 1 && e.role == first.Role && !e.change && e.up && out == 0 {
				if work := r.fleet.inFlight(e); work > before && busy > 0 {
					t.Fatalf("work grew from %d to %d while draining", before, work)
				}
				busy = max(busy, r.fleet.inFlight(e))
			}
			before = r.fleet.inFlight(e)
		}
		want, role := d.EngineModel.ChangeTime, core.RolePrefill
		if crash {
			want, role = d.EngineModel.ChangeTime/2+d.EngineModel.RestartTime, first.Role
		}
		if e.role != role || busy == 0 || out < want-time.Second || out > want+time.Second {
			t.Errorf("crash %v: role %v, %d requests to drain, out of service for %v", crash, e.role, busy, out)
		}
		if r.lost > 0 {
			t.Errorf("crash %v: %d requests cut", crash, r.lost)
		}
	}
}
