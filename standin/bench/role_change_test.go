package bench

import (
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/policy"
)

// singleChange plans a single role change at a fixed time.
type singleChange struct {
	startAt core.Instant
	change  core.RoleChange
	planned bool
}

func (p *singleChange) Plan(now core.Instant, _ *core.PlacementView) []core.RoleChange {
	if p.planned || now < p.startAt {
		return nil
	}
	p.planned = true
	return []core.RoleChange{p.change}
}

// A role change of an engine that still has requests would abort them. The engine must get
// no new requests, complete the pending ones and only then be out of service
// for RoleChangeTime. After a crash during the change it must restart in its old role and
// accept requests again.
func TestRoleChangeDrainsFirst(t *testing.T) {
	for _, crash := range []bool{false, true} {
		d := ledgerpeach()
		s := shortScenario(t, "Day", 2*time.Minute)
		if crash {
			s.CrashRoleChangeFrom = 0.01
		}
		first := d.Engines[0]
		placer := &singleChange{
			startAt: core.Instant(20 * time.Second),
			change:  core.RoleChange{Target: first.ID, From: core.RoleDecode, To: core.RolePrefill},
		}
		testPolicy, err := policy.New(core.PolicyDocument{Name: "Full", Type: "Full"}, policy.Options{Placer: placer, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		r := newRun(&d, s, newTrace(&d, s, 1), testPolicy)
		e := r.engines[0]
		previousWork, maxWork := 0, 0
		var outOfService time.Duration
		for at := r.now; r.step(); at = r.now {
			if e.changingRole || !e.up {
				outOfService += r.now.Sub(at)
			}
			// One request may be in transit when the change begins.
			if placer.planned && r.result.RoleChanges == 1 && e.role == first.Role && !e.changingRole && e.up && outOfService == 0 {
				if work := r.fleet.inFlight(e); work > previousWork && maxWork > 0 {
					t.Fatalf("work grew from %d to %d while draining", previousWork, work)
				}
				maxWork = max(maxWork, r.fleet.inFlight(e))
			}
			previousWork = r.fleet.inFlight(e)
		}
		want, role := d.EngineModel.RoleChangeTime, core.RolePrefill
		if crash {
			want, role = d.EngineModel.RoleChangeTime/2+d.EngineModel.RestartTime, first.Role
		}
		if e.role != role || maxWork == 0 || outOfService < want-time.Second || outOfService > want+time.Second {
			t.Errorf("crash %v: role %v, %d requests to drain, out of service for %v", crash, e.role, maxWork, outOfService)
		}
		if r.failedAttempts > 0 {
			t.Errorf("crash %v: %d attempts failed", crash, r.failedAttempts)
		}
	}
}
