package scaling

import "time"

// Options are the settings of a Planner. Zero values take the defaults that are stated per
// field.
type Options struct {
	// Disabled stops all orders.
	Disabled bool
	// Min and Max, if positive, narrow the limits of the service for the wanted servers of both
	// kinds together in each data centre. Equal values set a fixed number. While servers are
	// replaced, there may be more, up to the service's own Max.
	Min, Max int

	// KeepCapacity keeps at least as many servers as are listed at the first order, and adds
	// reclaimable ones so that as many remain after the loss of those of any data centre. It
	// applies while reclaimable servers cost at most 0.3 of regular ones: callers feel the loss of
	// caches and a fleet that is short in a burst, and spare servers cost little then.
	KeepCapacity bool
	// SettleTime is how long the number of listed servers must not have grown before servers without
	// work are lowered with KeepCapacity; 1.5 s. A fleet that starts registers over some seconds.
	SettleTime time.Duration

	// PeakWindow is the time over which the peak of the busy servers is taken; 20 s. It
	// covers a whole period of the slowest known wave of load, 15 s, and one boot time.
	PeakWindow time.Duration
	// LowerDelay is how long the peak must stay below the capacity that it justifies before
	// capacity is lowered; 20 s, so that one calm period of a wave lowers nothing.
	LowerDelay time.Duration
	// LowerInterval is the time between two reductions of the capacity, LowerShare the
	// share by which each lowers it; 2 s and 0.04. A spare reclaimable server costs little,
	// so a slow reduction is cheap, and a load that returns finds most of the servers.
	LowerInterval time.Duration
	LowerShare    float64
	// LowerThreshold is the share of the remembered peak below which the observed one counts
	// as low; 0.85. Smaller differences are noise.
	LowerThreshold float64

	// Headroom is the spare capacity for bursts as a share of the peak, in addition to the
	// reclaimable servers of any one data centre; 0.5.
	Headroom float64
	// BurstFactor is the multiple of the peak below which the capacity at the start isn't
	// lowered; 2. A burst to twice the load is over before new servers have booted.
	BurstFactor float64
	// RegularHeadroom is the spare capacity, as a share of the peak, for which regular
	// servers are ordered if no reclaimable ones are available; 0.25.
	RegularHeadroom float64
	// LossHeadroom is the spare capacity, as a share of the peak, that must remain after the
	// loss of the reclaimable servers of any one data centre; 0.15.
	LossHeadroom float64
	// RegularShare is the least share of the peak that is served by regular servers, rounded
	// up to at least one server; 0.1. They remain if several data centres lose their
	// reclaimable servers within one boot time.
	RegularShare float64

	// RefusalThreshold is the share of requests refused for lack of room above which
	// capacity is raised; 0.005.
	RefusalThreshold float64
	// UseThreshold is the share of the ready servers that may be busy; above it capacity is
	// raised; 0.9.
	UseThreshold float64
	// RaiseFactor is the capacity ordered for refusals, as a multiple of the ready servers;
	// 1.25. It applies again when the ordered servers are ready and requests are still refused.
	RaiseFactor float64

	// WatchTime is how long a new holder lowers no number of servers; 5 s, the time in which
	// the first replacements boot and the load is observed a few times.
	WatchTime time.Duration
	// GapTime is the time between plans after which the planner forgets its observations,
	// since another holder may have ordered meanwhile; 5 s.
	GapTime time.Duration
	// StartDelay is how long a new holder orders nothing, in case its list of servers is
	// incomplete; 1 s.
	StartDelay time.Duration
	// StepShare is the share of the average number of servers per data centre by which a
	// number may be lowered per StepInterval; 0.16, rounded up to whole servers. Each server
	// that goes takes its prompt caches with it.
	StepShare float64
	// StepInterval is the least time between two reductions of a number; 0.8 s, which is less
	// than the time between plans, so that their jitter skips none.
	StepInterval time.Duration
	// SwapShare is the share of the capacity that may be missing during the change of the mix
	// if Max leaves no room for replacements; 0.125.
	SwapShare float64

	// BootMargin is the time beyond the boot time after which ordered servers that aren't
	// ready count as lost; 3 s, for the registry's delay.
	BootMargin time.Duration
	// ListDelay is the time after which a lowered number must be listed; 3 s.
	ListDelay time.Duration
	// DrainTime is how long servers that were lowered may be listed as leaving; 10 s.
	DrainTime time.Duration
	// AnswerTime is the time after which an order without a result counts as lost; 2 s. Calls
	// are bounded to 1 s.
	AnswerTime time.Duration
	// NoticeTime is the greatest time left at which leaving reclaimable servers count as
	// reclaimed; 5 s. The platform gives notice of 2 to 2.6 s.
	NoticeTime time.Duration
	// PauseTime is the time without orders of a kind in a data centre that has none; 2 s. It
	// doubles with each refusal up to MaxPauseTime, 8 s: a dry market
	// lasts some 10 s.
	PauseTime, MaxPauseTime time.Duration
}

func (o Options) withDefaults() Options {
	o.SettleTime = orDefault(o.SettleTime, 1500*time.Millisecond)
	o.PeakWindow = orDefault(o.PeakWindow, 20*time.Second)
	o.LowerDelay = orDefault(o.LowerDelay, 20*time.Second)
	o.LowerInterval = orDefault(o.LowerInterval, 2*time.Second)
	o.LowerShare = orDefault(o.LowerShare, 0.04)
	o.LowerThreshold = orDefault(o.LowerThreshold, 0.85)
	o.Headroom = orDefault(o.Headroom, 0.5)
	o.BurstFactor = orDefault(o.BurstFactor, 2)
	o.RegularHeadroom = orDefault(o.RegularHeadroom, 0.25)
	o.LossHeadroom = orDefault(o.LossHeadroom, 0.15)
	o.RegularShare = orDefault(o.RegularShare, 0.1)
	o.RefusalThreshold = orDefault(o.RefusalThreshold, 0.005)
	o.UseThreshold = orDefault(o.UseThreshold, 0.9)
	o.RaiseFactor = orDefault(o.RaiseFactor, 1.25)
	o.WatchTime = orDefault(o.WatchTime, 5*time.Second)
	o.GapTime = orDefault(o.GapTime, 5*time.Second)
	o.StartDelay = orDefault(o.StartDelay, time.Second)
	o.StepShare = orDefault(o.StepShare, 0.16)
	o.StepInterval = orDefault(o.StepInterval, 800*time.Millisecond)
	o.SwapShare = orDefault(o.SwapShare, 0.125)
	o.BootMargin = orDefault(o.BootMargin, 3*time.Second)
	o.ListDelay = orDefault(o.ListDelay, 3*time.Second)
	o.DrainTime = orDefault(o.DrainTime, 10*time.Second)
	o.AnswerTime = orDefault(o.AnswerTime, 2*time.Second)
	o.NoticeTime = orDefault(o.NoticeTime, 5*time.Second)
	o.PauseTime = orDefault(o.PauseTime, 2*time.Second)
	o.MaxPauseTime = orDefault(o.MaxPauseTime, 8*time.Second)
	return o
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
