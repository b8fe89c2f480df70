package dispatch

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"gorseline/core"
)

// organisationGroups is the number of groups into which organisations are hashed by name.
// It limits the memory of a comparison to 16 KB per policy.
const organisationGroups = 1024

// PolicyTotals holds the totals of the requests that a policy handled. The totals of
// several instances can be added.
type PolicyTotals struct {
	Done, InTime, Refused, Cut, Unknown uint64
	// Goodput is the weight answered in time, Offered the weight of all finished requests.
	Goodput, Offered float64
	// Organisations is the number of organisations that sent requests. Organisations of the
	// same group count as one.
	Organisations int
	// GoodputSquares, Products and OfferedSquares are the sums, over the organisations, of
	// goodput², goodput · offered weight and offered weight².
	GoodputSquares, Products, OfferedSquares float64
}

// Requests returns the number of requests.
func (t PolicyTotals) Requests() uint64 { return t.Done + t.Refused + t.Cut + t.Unknown }

// Add returns the sum of the totals of two instances.
func (t PolicyTotals) Add(other PolicyTotals) PolicyTotals {
	return PolicyTotals{
		Done: t.Done + other.Done, InTime: t.InTime + other.InTime, Refused: t.Refused + other.Refused,
		Cut: t.Cut + other.Cut, Unknown: t.Unknown + other.Unknown,
		Goodput: t.Goodput + other.Goodput, Offered: t.Offered + other.Offered, Organisations: t.Organisations + other.Organisations,
		GoodputSquares: t.GoodputSquares + other.GoodputSquares, Products: t.Products + other.Products,
		OfferedSquares: t.OfferedSquares + other.OfferedSquares,
	}
}

// confidence is the confidence level of all intervals.
const confidence = 0.95

// Share returns the share of the offered weight that was answered in time, and half the
// width of its 95% confidence interval. Requests of one organisation are correlated and all
// have the same policy, so the interval treats organisations, not requests, as
// independent (ratio estimator for cluster samples). known is false while fewer than two
// organisations have sent requests.
func (t PolicyTotals) Share() (share, half float64, known bool) {
	if t.Offered <= 0 {
		return 0, 0, false
	}
	share = t.Goodput / t.Offered
	n := float64(t.Organisations)
	if n < 2 {
		return share, 0, false
	}
	squares := t.GoodputSquares - 2*share*t.Products + share*share*t.OfferedSquares
	variance := n / (n - 1) * max(0, squares) / (t.Offered * t.Offered)
	quantile := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
	return share, quantile * math.Sqrt(variance), true
}

// Loss is the goodput share of a reference policy minus that of a policy. Half is half the
// width of the confidence interval of Share.
type Loss struct {
	Share, Half float64
	// Known is false while one of the policies has too few organisations.
	Known bool
}

// LossAgainst returns the loss against the policy with the totals of reference.
func (t PolicyTotals) LossAgainst(reference PolicyTotals) Loss {
	own, ownHalf, ownKnown := t.Share()
	other, otherHalf, otherKnown := reference.Share()
	return Loss{other - own, math.Hypot(ownHalf, otherHalf), ownKnown && otherKnown}
}

const (
	// minimumOrganisations and minimumRequests are the least numbers per policy at which a
	// loss counts, so that the first few requests don't end an experiment.
	minimumOrganisations = 5
	minimumRequests      = 100
)

// Harms reports whether the loss against reference exceeds limit over the whole confidence
// interval, with enough organisations and requests on both sides.
func (t PolicyTotals) Harms(reference PolicyTotals, limit float64) bool {
	enough := min(t.Organisations, reference.Organisations) >= minimumOrganisations &&
		min(t.Requests(), reference.Requests()) >= minimumRequests
	loss := t.LossAgainst(reference)
	return enough && loss.Known && loss.Share-loss.Half > limit
}

// groupWeight holds the weights of a group of organisations.
type groupWeight struct{ goodput, offered float64 }

// policyCounter holds the totals of one policy.
type policyCounter struct {
	totals PolicyTotals
	groups [organisationGroups]groupWeight
}

// comparison counts finished requests by policy. It is safe for concurrent use.
type comparison struct {
	mu       sync.Mutex
	since    core.Revision
	policies map[string]*policyCounter
}

// reset clears the totals and starts to count at revision since.
func (c *comparison) reset(since core.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.policies = since, nil
}

// add counts a request that was admitted or refused under revision since or a later
// one. It ignores other requests.
func (c *comparison) add(finished FinishedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if finished.Request.Revision < c.since {
		return
	}
	counter := getOrCreate(&c.policies, finished.Policy)
	group := &counter.groups[xxhash.Sum64String(string(finished.Request.Organisation))%organisationGroups]
	weight := finished.Request.Kind.Weight
	counter.totals.Offered += weight
	group.offered += weight
	switch finished.Outcome {
	case core.OutcomeDone:
		counter.totals.Done++
	case core.OutcomeNotRun:
		counter.totals.Refused++
	case core.OutcomeCut:
		counter.totals.Cut++
	default:
		counter.totals.Unknown++
	}
	if finished.InTime {
		counter.totals.InTime++
		counter.totals.Goodput += weight
		group.goodput += weight
	}
}

// totals returns the totals by policy and the first revision that they count.
func (c *comparison) totals() (map[string]PolicyTotals, core.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string]PolicyTotals, len(c.policies))
	for name, t := range c.policies {
		a := t.totals
		for _, g := range t.groups {
			if g.offered > 0 {
				a.Organisations++
				a.GoodputSquares += g.goodput * g.goodput
				a.Products += g.goodput * g.offered
				a.OfferedSquares += g.offered * g.offered
			}
		}
		all[name] = a
	}
	return all, c.since
}

// ResetPolicyTotals resets the totals by policy. They then count requests that are admitted
// under revision since or a later one.
func (d *Dispatcher) ResetPolicyTotals(since core.Revision) { d.comparison.reset(since) }

// PolicyTotals returns the totals by policy and the first revision that they count.
func (d *Dispatcher) PolicyTotals() (map[string]PolicyTotals, core.Revision) {
	return d.comparison.totals()
}
