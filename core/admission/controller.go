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

	mutex         sync.Mutex
	groups        map[groupKey]*group
	kinds         map[core.KindName]int
	organisations map[core.Organisation]int
}

var _ core.Admitter = (*Controller)(nil)

// groupKey names what shares one concurrency limit: a model or a plain service.
type groupKey struct {
	model   core.Model
	service core.Service
}

// NewController returns a controller with nothing in flight.
func NewController(options Options, source *random.Source) *Controller {
	return &Controller{
		options:       options,
		random:        source,
		groups:        make(map[groupKey]*group),
		kinds:         make(map[core.KindName]int),
		organisations: make(map[core.Organisation]int),
	}
}

// Admit implements core.Admitter.
func (c *Controller) Admit(now core.Instant, req *core.Request, expected core.Estimate) core.Admission {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	g := c.group(req)
	g.advance(now, &c.options)
	member := g.member(now, req.Organisation)
	g.noteWeight(req.Kind.Weight)
	promised := expected
	if c.options.Calibrate {
		expected = g.waits.corrected(req, expected, c.options.SafetyMargin)
	}
	budget := waitBudget(now, req, &expected)
	if reason := c.refusal(now, req, &expected, g, member, budget); reason != "" {
		return core.Admission{Reason: reason, RetryAfter: c.retryAfter(reason, &expected, budget)}
	}
	c.kinds[req.Kind.Name]++
	c.organisations[req.Organisation]++
	g.add(req, member)
	if c.options.Calibrate {
		g.waits.admitted(now, req, &promised)
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
	decrement(c.kinds, req.Kind.Name)
	decrement(c.organisations, req.Organisation)
}

// Limit returns the concurrency limit in force for a model or service and the number of
// its requests in flight.
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

// refusal returns why the request is refused, or an empty reason.
func (c *Controller) refusal(
	now core.Instant, req *core.Request, expected *core.Estimate, g *group, member *member, budget time.Duration,
) core.Reason {
	options := &c.options
	if exceeded(options.KindLimits[req.Kind.Name], c.kinds[req.Kind.Name]) {
		return core.ReasonKindLimit
	}
	if exceeded(options.OrganisationLimits[req.Organisation], c.organisations[req.Organisation]) {
		return core.ReasonOrganisationLimit
	}
	if exceeded(options.ModelLimits[req.Model], g.inFlight) && req.Service == "" {
		return core.ReasonConcurrency
	}
	limit, held := g.limit, g.inFlight
	if req.Kind.Urgent {
		// Urgent requests pass the queue that late answers come from, so they
		// compete for the limit only with each other.
		held = g.urgentInFlight
	} else {
		limit *= 1 - options.UrgentShare
	}
	if float64(held+1) > max(1, limit) {
		return core.ReasonConcurrency
	}
	if options.EarlyRefusal && c.isTooLate(now, req, expected, g, budget) {
		return core.ReasonDeadline
	}
	contended := float64(held) > slotContention*limit ||
		float64(expected.Queue) > options.Contention*max(float64(budget), leastBudget*float64(req.Kind.Deadline))
	if options.FairShares && contended && g.exceedsShare(req, member) {
		return core.ReasonOrganisationLimit
	}
	return ""
}

// isTooLate reports whether the request should be refused for its deadline. Urgent kinds
// are short, so taking one on in vain costs less than refusing one that would have made
// it: they are refused only when even an idle target would be too slow.
func (c *Controller) isTooLate(
	now core.Instant, req *core.Request, expected *core.Estimate, g *group, budget time.Duration,
) bool {
	if req.Kind.Urgent {
		return budget < 0
	}
	return !estimate.Feasible(now, req, expected) || float64(expected.Queue) > c.allowance(req, g)*float64(budget)
}

// allowance returns the part of the affordable waiting time that the request may use.
// It is smaller for lower weights, so that these are refused first as queues grow.
func (c *Controller) allowance(req *core.Request, g *group) float64 {
	greatest := g.greatestWeight()
	if greatest <= 0 {
		return 1
	}
	return 1 - c.options.WeightMargin*(1-min(1, req.Kind.Weight/greatest))
}

// retryAfter returns when a refused caller should come back: once the queue has shrunk to
// what the request can afford, or an answer has ended. Jitter of a quarter spreads callers
// that were refused together.
func (c *Controller) retryAfter(reason core.Reason, expected *core.Estimate, budget time.Duration) time.Duration {
	after := expected.Total / 2
	if reason == core.ReasonDeadline {
		after = expected.Queue - max(0, budget)/2
	}
	after = min(max(after, minimumRetry), maximumRetry)
	return after + time.Duration(c.random.Unit()*float64(after)/4)
}

// waitBudget returns how long the request can afford to wait in queues.
func waitBudget(now core.Instant, req *core.Request, expected *core.Estimate) time.Duration {
	budget := req.Remaining(now) - (expected.Total - expected.Queue)
	if limit := req.Kind.FirstToken; limit > 0 {
		first := limit - now.Sub(req.Arrived) - (expected.FirstToken - expected.Queue)
		budget = min(budget, first)
	}
	return budget
}

func exceeded(limit, inFlight int) bool { return limit > 0 && inFlight >= limit }

func decrement[K comparable](counts map[K]int, key K) {
	if counts[key] <= 1 {
		delete(counts, key)
		return
	}
	counts[key]--
}
