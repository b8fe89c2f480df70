package scaling

import (
	"time"

	"gorseline/core"
)

// KindState is the state of the servers of one kind in a data centre.
type KindState struct {
	// Ready and Leaving are listed, Current is the number once the last order has taken
	// effect, and Wanted is the number at the end of all steps.
	Ready, Leaving, Current, Wanted int
	// IsUnconfirmed is true if the last order has no result yet or must be repeated.
	IsUnconfirmed bool
	// IsReclaimed is true while the servers are being taken away.
	IsReclaimed bool
	// Pause is the time left until servers of this kind are ordered again.
	Pause time.Duration
}

// DataCentreState is the state of the servers in a data centre.
type DataCentreState struct {
	Regular, Reclaimable KindState
}

// State is the state on which a Planner bases its orders.
type State struct {
	// Busy, RefusedShare and MustStay are the inputs of the last plan.
	Busy, RefusedShare float64
	MustStay           int
	PricesKnown        bool
	// Peak is the peak of the demand in the window in servers, HeldPeak the one that is lowered
	// slowly and on which the needs are based.
	Peak, HeldPeak float64
	// Capacity is the least number of servers in total, Work the part of it for which regular
	// servers are ordered if there are no others. AfterLoss is the number that must remain
	// after the loss of the reclaimable servers of a data centre, SpareAfterLoss the same
	// with headroom for bursts. Regular is the least number of regular servers.
	Capacity, Work, AfterLoss, SpareAfterLoss, Regular int
	// Min and Max are the limits in force for each data centre.
	Min, Max int
	// IsWatching is true while a new holder lowers nothing.
	IsWatching  bool
	DataCentres map[core.DataCentre]DataCentreState
}

// State returns the state after the last plan.
func (p *Planner) State() State {
	s := State{
		Busy: p.view.Busy, RefusedShare: p.view.RefusedShare, MustStay: p.view.MustStay, PricesKnown: p.view.PricesKnown,
		Peak: p.demand.peak, HeldPeak: p.demand.heldPeak,
		Capacity: p.needs.capacity, Work: p.needs.work, AfterLoss: p.needs.afterLoss,
		SpareAfterLoss: p.needs.spareAfterLoss, Regular: p.needs.regular,
		Min: p.limits.Min, Max: p.limits.Max,
		IsWatching:  p.plannedAt.Sub(p.startedAt) < p.options.WatchTime,
		DataCentres: map[core.DataCentre]DataCentreState{},
	}
	for _, name := range p.dataCentres() {
		s.DataCentres[name] = DataCentreState{Regular: p.kindState(kind{name, false}), Reclaimable: p.kindState(kind{name, true})}
	}
	return s
}

func (p *Planner) kindState(k kind) KindState {
	s := p.slots[k]
	return KindState{
		Ready: s.Ready, Leaving: s.Leaving, Current: s.current(), Wanted: p.wanted[k],
		IsUnconfirmed: s.isAwaiting || s.isLost, IsReclaimed: s.isReclaimed, Pause: max(0, s.pausedUntil.Sub(p.plannedAt)),
	}
}
