package admission

import (
	"time"

	"gorseline/core"
)

// Options are the settings of a controller. Limits hold for one instance.
type Options struct {
	// MaxConcurrent and MinConcurrent bound the requests in flight per model or service,
	// between which the adaptive limit moves.
	MaxConcurrent int
	MinConcurrent int
	// Adaptive lowers the limit when answers are late and raises it when they aren't.
	Adaptive bool
	// LateShare and UrgentLateShare are the parts of late answers above which the
	// adaptive limit is lowered.
	LateShare       float64
	UrgentLateShare float64
	// UrgentShare is the part of the limit that only urgent kinds may use.
	UrgentShare float64
	// FairShares refuses organisations that use more than an equal share of contended
	// capacity.
	FairShares bool
	// Contention is the part of the time that a request can afford to wait above which
	// capacity is contended. Queues are not empty then, so refusals leave nothing idle.
	Contention float64
	// EarlyRefusal refuses requests that are not expected to keep their deadline.
	EarlyRefusal bool
	// WeightMargin is the part of the affordable waiting time that a request of weight 0
	// may not use. Requests of the greatest weight may use all of it.
	WeightMargin float64
	// Calibrate corrects the expected queueing delay by what earlier answers showed, as
	// far as answers are late, and SafetyMargin adds so many mean deviations to it.
	Calibrate    bool
	SafetyMargin float64
	// KindLimits, ModelLimits and OrganisationLimits bound requests in flight; a missing
	// entry or 0 means no limit.
	KindLimits         map[core.KindName]int
	ModelLimits        map[core.Model]int
	OrganisationLimits map[core.Organisation]int
}

// DefaultOptions returns settings with all mechanisms on.
func DefaultOptions() Options {
	return Options{
		MaxConcurrent:   4096,
		MinConcurrent:   16,
		Adaptive:        true,
		LateShare:       0.05,
		UrgentLateShare: 0.005,
		UrgentShare:     0.1,
		FairShares:      true,
		Contention:      0.6,
		EarlyRefusal:    true,
		WeightMargin:    0.3,
		Calibrate:       true,
		SafetyMargin:    3,
	}
}

// Unlimited returns settings that admit everything up to a fixed bound.
func Unlimited() Options {
	return Options{MaxConcurrent: 1 << 20, MinConcurrent: 1 << 20, Contention: 1}
}

const (
	// window is the time over which late answers are counted for the adaptive limit.
	window = time.Second
	// minimumSamples is the number of answers that a window needs to be judged.
	minimumSamples = 10
	// lateSlack is the number of late answers that a window may hold in any case. One
	// late answer among the few of a second says nothing about the load.
	lateSlack = 2
	// decrease and increase change the limit once per window. Lowering faster than
	// raising keeps the limit below the knee, as in TCP's congestion control.
	decrease = 0.9
	increase = 0.15
	// activeFor is how long an organisation without requests in flight keeps its share.
	activeFor = 5 * time.Second
	// slotContention is the part of the concurrency limit above which capacity is
	// contended. Slots kept for others stay idle, so it is close to the limit.
	slotContention = 0.9
	// shareSlack is how far an organisation may exceed its share. With a dozen requests
	// in flight each, equal organisations differ by 30% by chance alone.
	shareSlack = 0.6
	// leastBudget is the least part of the deadline that is compared with the queue. A
	// request whose own answer takes all of its deadline doesn't make capacity scarce.
	leastBudget = 0.1
	// minimumRetry and maximumRetry bound the retry time of a refusal.
	minimumRetry = 100 * time.Millisecond
	maximumRetry = 10 * time.Second
)
