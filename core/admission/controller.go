package admission

import (
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/estimate"
)

// Controller implements core.Admitter. It is safe for concurrent use.
type Controller struct {
	options Options
	random  *random.Source

	mutex                  sync.Mutex
	groups                 map[groupKey]*group
	inFlightByKind         map[core.KindName]int
	inFlightByOrganisation map[core.Organisation]int
}

var _ core.Admitter = (*Controller)(nil)

// groupKey identifies a model or a plain service, whose requests share a concurrency limit.
type groupKey struct {
	model   core.Model
	service core.Service
}

// NewController returns a controller without requests in flight.
func NewController(options Options, source *random.Source) *Controller {
	return &Controller{
		options:                options,
		random:                 source,
		groups:                 make(map[groupKey]*group),
		inFlightByKind:         make(map[core.KindName]int),
		inFlightByOrganisation: make(map[core.Organisation]int),
	}
}

// Admit implements core.Admitter.
func (c *Controller) Admit(now core.Instant, req *core.Request, expected core.Estimate) core.Admission {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g := c.group(req)
	g.advance(now, &c.options)
	member := g.member(now, req.Organisation)
	g.recordWeight(req.Kind.Weight)
	uncorrected := expected
	if c.options.Calibrate {
		expected = g.calibration.correct(req, expected, c.options.SafetyMargin)
	}
	budget := waitBudget(now, req, &expected)
	if reason := c.refusalReason(now, req, &expected, g, member, budget); reason != "" {
		return core.Admission{Reason: reason, RetryAfter: c.retryAfter(reason, &expected, budget)}
	}
	c.inFlightByKind[req.Kind.Name]++
	c.inFlightByOrganisation[req.Organisation]++
	g.add(req, member)
	if c.options.Calibrate {
		g.calibration.recordAdmitted(now, req, &uncorrected)
	}
	return core.Admission{Admitted: true, Reason: core.ReasonAdmitted}
}

// Finish implements core.Admitter. It is called exactly once per admitted request.
func (c *Controller) Finish(now core.Instant, req *core.Request, inTime bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g := c.group(req)
	g.remove(now, req, inTime)
	g.advance(now, &c.options)
	decrement(c.inFlightByKind, req.Kind.Name)
	decrement(c.inFlightByOrganisation, req.Organisation)
}

// Limit returns the current concurrency limit of a model or service and the number of
// its requests in flight. Before its first request, the limit is MaxConcurrent.
func (c *Controller) Limit(model core.Model, service core.Service) (limit, inFlight int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g, ok := c.groups[groupKey{model, service}]
	if !ok {
		return c.options.MaxConcurrent, 0
	}
	return int(g.limit), g.inFlight
}

func (c *Controller) group(req *core.Request) *group {
	key := groupKey{req.Model, req.Service}
	g, ok := c.groups[key]
	if !ok {
		g = newGroup(float64(c.options.MaxConcurrent))
		c.groups[key] = g
	}
	return g
}

// refusalReason returns the reason to refuse the request, or an empty one to admit it.
func (c *Controller) refusalReason(
	now core.Instant, req *core.Request, expected *core.Estimate, g *group, member *member, budget time.Duration,
) core.Reason {
	options := &c.options
	if isAtLimit(options.KindLimits[req.Kind.Name], c.inFlightByKind[req.Kind.Name]) {
		return core.ReasonKindLimit
	}
	if isAtLimit(options.OrganisationLimits[req.Organisation], c.inFlightByOrganisation[req.Organisation]) {
		return core.ReasonOrganisationLimit
	}
	if isAtLimit(options.ModelLimits[req.Model], g.inFlight) && req.Service == "" {
		return core.ReasonConcurrency
	}
	limit, inFlight := g.limit, g.inFlight
	if req.Kind.Urgent {
		// Urgent requests bypass the queue that makes answers late, so only
		// urgent ones count towards their limit.
		inFlight = g.urgentInFlight
	} else {
		limit *= 1 - options.UrgentShare
	}
	if float64(inFlight+1) > max(1, limit) {
		return core.ReasonConcurrency
	}
	if options.EarlyRefusal && c.isTooLate(now, req, expected, g, budget) {
		return core.ReasonDeadline
	}
	contended := float64(inFlight) > contendedSlotShare*limit ||
		float64(expected.Queue) > options.Contention*max(float64(budget), minBudgetShare*float64(req.Kind.Deadline))
	if options.FairShares && contended && g.exceedsShare(req, member) {
		return core.ReasonOrganisationLimit
	}
	return ""
}

// isTooLate reports whether the request should be refused for its deadline. Urgent requests
// are short, so admitting one that misses its deadline costs less than refusing one that
// would meet it. They are refused only if even an idle target would be too slow.
func (c *Controller) isTooLate(
	now core.Instant, req *core.Request, expected *core.Estimate, g *group, budget time.Duration,
) bool {
	if req.Kind.Urgent {
		return budget < 0
	}
	return !estimate.Feasible(now, req, expected) || float64(expected.Queue) > c.budgetShare(req, g)*float64(budget)
}

// budgetShare returns the share of its wait budget that the request may use. It is smaller
// for lower weights, so that these requests are refused first as queues grow.
func (c *Controller) budgetShare(req *core.Request, g *group) float64 {
	maxWeight := g.recentMaxWeight()
	if maxWeight <= 0 {
		return 1
	}
	return 1 - c.options.WeightMargin*(1-min(1, req.Kind.Weight/maxWeight))
}

// retryAfter returns the retry time of a refusal. After a refusal for the deadline it is the
// time until the queue has shrunk to half of the wait budget. After other refusals it is half
// of the expected total, by which time an answer has probably ended. Jitter of up to a
// quarter spreads the retries of callers that were refused together.
func (c *Controller) retryAfter(reason core.Reason, expected *core.Estimate, budget time.Duration) time.Duration {
	after := expected.Total / 2
	if reason == core.ReasonDeadline {
		after = expected.Queue - max(0, budget)/2
	}
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(c.random.Float64()*float64(after)/4)
}

// waitBudget returns the longest queueing delay with which the request meets its limits.
func waitBudget(now core.Instant, req *core.Request, expected *core.Estimate) time.Duration {
	budget := req.Remaining(now) - (expected.Total - expected.Queue)
	if limit := req.Kind.FirstToken; limit > 0 {
		untilFirst := limit - now.Sub(req.Arrived) - (expected.FirstToken - expected.Queue)
		budget = min(budget, untilFirst)
	}
	return budget
}

func isAtLimit(limit, inFlight int) bool { return limit > 0 && inFlight >= limit }

func decrement[K comparable](counts map[K]int, key K) {
	if counts[key] <= 1 {
		delete(counts, key)
		return
	}
	counts[key]--
}
