package placement

import (
	"gorseline/core"
)

// Static never changes a role: engines keep their configured roles.
type Static struct{}

var _ core.Placer = Static{}

// Plan returns an empty plan.
func (Static) Plan(core.Instant, *core.PlacementView) []core.RoleChange { return nil }

// Reactive moves engines as soon as the share of prompt work in the latest
// observation differs from the share of prefill engines by more than half an
// engine. It is a baseline without hysteresis, price or minimum stay.
type Reactive struct {
	// BatchSize is the number of sequences that a busy engine decodes together.
	BatchSize int
}

var _ core.Placer = Reactive{}

// Plan returns at most one change. It moves the least loaded engine of the role that
// has too many engines.
func (r Reactive) Plan(_ core.Instant, view *core.PlacementView) []core.RoleChange {
	work, known := demandOf(view, orDefault(r.BatchSize, 48))
	total := work.prefill + work.decode
	if !known || total == 0 {
		return nil
	}
	counts := countInService(view)
	// A mixed engine counts half for either role.
	actual := float64(counts.prefill) + float64(counts.mixed)/2
	engines := counts.prefill + counts.decode + counts.mixed
	target := work.prefill / total * float64(engines)
	from, to := core.RoleDecode, core.RolePrefill
	switch {
	case target-actual > 0.5 && counts.decode > 1:
	case actual-target > 0.5 && counts.prefill > 1:
		from, to = to, from
	default:
		return nil
	}
	var best *core.TargetState
	for i := range view.Engines {
		e := &view.Engines[i]
		if e.Report.Role == from && e.AcceptsWork() && (best == nil || remainingWork(e) < remainingWork(best)) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return []core.RoleChange{{Target: best.ID, From: from, To: to, Reason: ReasonThreshold}}
}
