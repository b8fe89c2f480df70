package dispatch

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"

	"gorseline/core"
)

// organisationGroups bounds the memory of a comparison: organisations are counted by
// the hash of their name, in 16 KB per policy.
const organisationGroups = 1024

// PolicyTotals holds the totals of the requests that a policy served. Sums of two
// accounts are again an account.
type PolicyTotals struct {
	Done, InTime, Refused, Cut, Unknown uint64
	// Goodput is the weight answered in time; Offered the weight that ended.
	Goodput, Offered float64
	// Organisations is the number of organisations, or groups of them, that sent
	// requests.
	Organisations int
	// GoodputSquares, Products and OfferedSquares are sums over the organisations of
	// the squares and products of their goodput and offered weight.
	GoodputSquares, Products, OfferedSquares float64
}

// Requests returns the number of requests.
func (a PolicyTotals) Requests() uint64 { return a.Done + a.Refused + a.Cut + a.Unknown }

// Add returns the sum of the accounts of two instances.
func (a PolicyTotals) Add(b PolicyTotals) PolicyTotals {
	return PolicyTotals{
		Done: a.Done + b.Done, InTime: a.InTime + b.InTime, Refused: a.Refused + b.Refused,
		Cut: a.Cut + b.Cut, Unknown: a.Unknown + b.Unknown,
		Goodput: a.Goodput + b.Goodput, Offered: a.Offered + b.Offered, Organisations: a.Organisations + b.Organisations,
		GoodputSquares: a.GoodputSquares + b.GoodputSquares, Products: a.Products + b.Products,
		OfferedSquares: a.OfferedSquares + b.OfferedSquares,
	}
}

// confidence is that of all intervals.
const confidence = 0.95

// Share returns the part of the offered weight that was answered in time, and half the
// width of its 95% confidence interval. Requests of one organisation are alike and an
// organisation always has one policy, so the interval treats organisations, not
// requests, as independent (the ratio estimator for clusters). known is false while
// fewer than two organisations sent requests.
func (a PolicyTotals) Share() (share, half float64, known bool) {
	if a.Offered <= 0 {
		return 0, 0, false
	}
	share = a.Goodput / a.Offered
	n := float64(a.Organisations)
	if n < 2 {
		return share, 0, false
	}
	squares := a.GoodputSquares - 2*share*a.Products + share*share*a.OfferedSquares
	variance := n / (n - 1) * max(0, squares) / (a.Offered * a.Offered)
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile((1 + confidence) / 2)
	return share, t * math.Sqrt(variance), true
}

// Loss is how much smaller the goodput share of a policy is than that of another.
type Loss struct {
	Share, Half float64
	// Known is false while one of the policies has too few organisations.
	Known bool
}

// LossAgainst returns the loss of a against the policy of reference.
func (a PolicyTotals) LossAgainst(reference PolicyTotals) Loss {
	own, ownHalf, ownKnown := a.Share()
	other, otherHalf, otherKnown := reference.Share()
	return Loss{other - own, math.Hypot(ownHalf, otherHalf), ownKnown && otherKnown}
}

const (
	// minimumOrganisations and minimumRequests keep the first few requests of an
	// experiment from ending it.
	minimumOrganisations = 5
	minimumRequests      = 100
)

// Harms reports whether a loses more than limit against reference, with the whole
// confidence interval and enough requests on both sides.
func (a PolicyTotals) Harms(reference PolicyTotals, limit float64) bool {
	enough := min(a.Organisations, reference.Organisations) >= minimumOrganisations &&
		min(a.Requests(), reference.Requests()) >= minimumRequests
	loss := a.LossAgainst(reference)
	return enough && loss.Known && loss.Share-loss.Half > limit
}

// groupWeight are the goodput and the offered weight of a group of organisations.
type groupWeight struct{ goodput, offered float64 }

type policyCounter struct {
	totals PolicyTotals
	groups  [organisationGroups]groupWeight
}

// comparison counts how requests ended by policy. It is safe for concurrent use.
type comparison struct {
	mu       sync.Mutex
	since    core.Revision
	policies map[string]*policyCounter
}

func (c *comparison) reset(since core.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.policies = since, nil
}

// add counts a request that was admitted or refused under the comparison's revisions.
func (c *comparison) add(e FinishedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Request.Revision < c.since {
		return
	}
	t := getOrCreate(&c.policies, e.Policy)
	group := &t.groups[xxhash.Sum64String(string(e.Request.Organisation))%organisationGroups]
	weight := e.Request.Kind.Weight
	t.totals.Offered += weight
	group.offered += weight
	switch e.Outcome {
	case core.OutcomeDone:
		t.totals.Done++
	case core.OutcomeNotRun:
		t.totals.Refused++
	case core.OutcomeCut:
		t.totals.Cut++
	default:
		t.totals.Unknown++
	}
	if e.InTime {
		t.totals.InTime++
		t.totals.Goodput += weight
		group.goodput += weight
	}
}

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

// ResetPolicyTotals starts the accounts of policies anew with the requests that are
// admitted under a revision or a later one.
func (d *Dispatcher) ResetPolicyTotals(since core.Revision) { d.comparison.reset(since) }

// PolicyTotals returns the totals by policy and the revision that they start with.
func (d *Dispatcher) PolicyTotals() (map[string]PolicyTotals, core.Revision) {
	return d.comparison.totals()
}
