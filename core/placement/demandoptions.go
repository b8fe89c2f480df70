package placement

import "time"

// DemandOptions are the settings of a DemandPlanner. Zero values take the defaults that
// are stated per field.
type DemandOptions struct {
	// InitialPrefillShare is the share of engines in the prefill role until the first
	// demand is observed; 0.64. Prompts of the known kinds need about twice as many
	// engines as their answers.
	InitialPrefillShare float64
	// BusyThreshold is the share of prefill engines with work above which more prefill
	// engines are needed; 0.85.
	BusyThreshold float64
	// SlotThreshold is the share of decode slots in use above which more decode engines
	// are needed; 0.95.
	SlotThreshold float64
	// MaxPeakSlotUse limits the recent peak of slot use, spread over the decode engines that
	// remain after one is moved to prefill; 0.7. Answers hold their slots for seconds, so a
	// shortage of slots clears slowly.
	MaxPeakSlotUse float64
	// RefusalThreshold is the share of refused requests above which refusals count; 0.01.
	RefusalThreshold float64
	// ChangeTime is how long an engine is out of service for a role change, which
	// includes finishing its work; 8 s.
	ChangeTime time.Duration
	// DecayTime is the time constant of the decay of the peak slot use and of the
	// refusal balance; 15 s.
	DecayTime time.Duration
	// Smoothing is the time constant of the averages; 2 s.
	Smoothing time.Duration
	// PrefillDelay and DecodeDelay are how long a shortage of prefill or decode engines
	// must last before an engine is moved; 6 s and 2 s. A role change takes an engine out
	// of service for seconds, about as long as a burst lasts, while streams that wait for
	// slots delay all others.
	PrefillDelay, DecodeDelay time.Duration
	// MinimumStay is the least time between two role changes of an engine; 15 s.
	MinimumStay time.Duration
	// ReversalDelay is the least time between changes in opposite directions; 10 s.
	ReversalDelay time.Duration
	// MaxConcurrentShare is the share of engines that may change at the same time; 0.25.
	// The limit doesn't apply before the first demand.
	MaxConcurrentShare float64
	// ChangeTimeout is the time after which a change that isn't visible counts as ended;
	// 15 s.
	ChangeTimeout time.Duration
}

func (o DemandOptions) withDefaults() DemandOptions {
	o.InitialPrefillShare = orDefault(o.InitialPrefillShare, 0.64)
	o.BusyThreshold = orDefault(o.BusyThreshold, 0.85)
	o.SlotThreshold = orDefault(o.SlotThreshold, 0.95)
	o.MaxPeakSlotUse = orDefault(o.MaxPeakSlotUse, 0.7)
	o.RefusalThreshold = orDefault(o.RefusalThreshold, 0.01)
	o.ChangeTime = orDefault(o.ChangeTime, 8*time.Second)
	o.DecayTime = orDefault(o.DecayTime, 15*time.Second)
	o.Smoothing = orDefault(o.Smoothing, 2*time.Second)
	o.PrefillDelay = orDefault(o.PrefillDelay, 6*time.Second)
	o.DecodeDelay = orDefault(o.DecodeDelay, 2*time.Second)
	o.MinimumStay = orDefault(o.MinimumStay, 15*time.Second)
	o.ReversalDelay = orDefault(o.ReversalDelay, 10*time.Second)
	o.MaxConcurrentShare = orDefault(o.MaxConcurrentShare, 0.25)
	o.ChangeTimeout = orDefault(o.ChangeTimeout, 15*time.Second)
	return o
}
