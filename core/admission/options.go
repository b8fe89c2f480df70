package admission

import (
	"time"

	"gorseline/core"
)

// Options are the settings of a controller. Limits apply to one instance.
type Options struct {
	// MaxConcurrent and MinConcurrent bound the adaptive limit of requests in flight per
	// model or service.
	MaxConcurrent int
	MinConcurrent int
	// Adaptive lowers the limit when answers are late and raises it when they aren't.
	Adaptive bool
	// LateShare and UrgentLateShare are the shares of late answers, among all and among
	// urgent ones, above which the adaptive limit is lowered.
	LateShare       float64
	UrgentLateShare float64
	// UrgentShare is the share of the limit that only urgent kinds may use.
	UrgentShare float64
	// FairShares refuses requests of organisations that use more than an equal share of
	// contended capacity.
	FairShares bool
	// Contention is the share of a request's wait budget above which the expected queueing
	// delay means contended capacity. Queues aren't empty then, so refusals leave no
	// capacity idle.
	Contention float64
	// EarlyRefusal refuses requests that are not expected to meet their deadline.
	EarlyRefusal bool
	// WeightMargin is the share of its wait budget that a request of weight 0 may not use.
	// Requests of the greatest recent weight may use all of it.
	WeightMargin float64
	// Calibrate corrects the expected queueing delay by the mean error of earlier estimates
	// if too many answers are late. SafetyMargin is the number of mean deviations of the
	// error that the correction adds.
	Calibrate    bool
	SafetyMargin float64
	// KindLimits, ModelLimits and OrganisationLimits bound requests in flight; a missing
	// entry or 0 means no limit.
	KindLimits         map[core.KindName]int
	ModelLimits        map[core.Model]int
	OrganisationLimits map[core.Organisation]int
}

// DefaultOptions returns settings with all mechanisms enabled.
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

// Unlimited returns settings that only apply a high fixed concurrency limit.
func Unlimited() Options {
	return Options{MaxConcurrent: 1 << 20, MinConcurrent: 1 << 20, Contention: 1}
}

const (
	// windowLength is the time over which late answers are counted for the adaptive limit.
	windowLength = time.Second
	// minWindowAnswers is the number of answers that a window needs to be evaluated.
	minWindowAnswers = 10
	// toleratedLateAnswers is the number of late answers that a window may always contain. One
	// late answer among the few of a second is no sign of overload.
	toleratedLateAnswers = 2
	// decreaseFactor sets the limit after a window with too many late answers: this factor
	// times the window's peak concurrency, or times the limit if that is lower. Decreasing
	// from the peak keeps the limit below the knee of the latency curve, as in TCP's
	// congestion control.
	decreaseFactor = 0.9
	// increaseShare is the relative increase of the limit, by at least 2 requests, after a
	// window without too many late answers whose peak exceeded half of the limit.
	increaseShare = 0.15
	// idleMemberTTL is how long an organisation without requests in flight still counts
	// for equal shares. It is also the interval of the sweeps that remove such organisations.
	idleMemberTTL = 5 * time.Second
	// contendedSlotShare is the share of the concurrency limit above which capacity is
	// contended. It is close to 1, since slots kept for other organisations stay idle.
	contendedSlotShare = 0.9
	// shareTolerance is how far an organisation may exceed its share, as a part of it. With a
	// dozen requests in flight each, equal organisations differ by 30% at random.
	shareTolerance = 0.6
	// minBudgetShare is the least wait budget that the expected queueing delay is compared with,
	// as a share of the deadline. A request whose own answer takes all of its deadline has
	// no wait budget, but that doesn't mean that capacity is contended.
	minBudgetShare = 0.1
	// minRetryAfter and maxRetryAfter bound the retry time of a refusal.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)
