package policy

import (
	"cmp"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// Set builds the policies of the active configuration and assigns one to each
// organisation. It is safe for concurrent use. A policy whose documents don't change
// keeps its learned and reserved state across revisions.
type Set struct {
	placer func(core.Preset) core.Placer
	seed   uint64

	mu      sync.Mutex
	current atomic.Pointer[assignment]
}

var _ core.PolicyProvider = (*Set)(nil)

// boundPolicy is a policy with the documents from which it was built.
type boundPolicy struct {
	core.Policy
	document      core.PolicyDocument
	preset        core.Preset
	organisations map[core.Organisation]core.OrganisationDocument
}

// policyRange assigns a policy to the organisations whose hash, scaled to [0, 1), lies
// between the end of the previous range and end.
type policyRange struct {
	policy *boundPolicy
	end    float64
}

// assignment is the immutable result of one Apply.
type assignment struct {
	ranges  []policyRange
	byName  map[string]*boundPolicy
	primary *boundPolicy
}

// shareTolerance absorbs rounding errors in sums of shares such as 0.1, which have no
// exact binary representation.
const shareTolerance = 1e-9

// NewSet returns a set without policies. placer returns the placement of a preset; seed
// seeds the policies' random decisions.
func NewSet(placer func(core.Preset) core.Placer, seed uint64) *Set {
	return &Set{placer: placer, seed: seed}
}

// Apply builds the policies of a configuration. Organisations outside the shares of an
// experiment get the preset's primary policy. On an error the set stays unchanged; a
// validated configuration never causes one.
func (s *Set) Apply(c core.Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	preset := c.Preset()
	shares := slices.Clone(preset.Experiment)
	remaining := 1.0
	for _, share := range shares {
		remaining -= share.Share
	}
	if remaining > shareTolerance {
		shares = append(shares, core.PolicyShare{Policy: preset.Policy, Share: remaining})
	}
	next := &assignment{byName: map[string]*boundPolicy{}}
	total := 0.0
	for _, share := range shares {
		p, err := s.build(c, preset, share.Policy)
		if err != nil {
			return err
		}
		total += share.Share
		next.byName[share.Policy] = p
		next.ranges = append(next.ranges, policyRange{p, total})
	}
	primary, err := s.build(c, preset, preset.Policy)
	if err != nil {
		return err
	}
	if existing, ok := next.byName[preset.Policy]; ok {
		primary = existing
	}
	next.byName[preset.Policy], next.primary = primary, primary
	s.current.Store(next)
	return nil
}

// build returns the named policy, reusing the current one if its documents are unchanged.
func (s *Set) build(c core.Configuration, preset core.Preset, name string) (*boundPolicy, error) {
	document := c.Policies[name]
	if current := s.current.Load(); current != nil {
		old, ok := current.byName[name]
		if ok && reflect.DeepEqual(old.document, document) && reflect.DeepEqual(old.preset, preset) &&
			reflect.DeepEqual(old.organisations, c.Organisations) {
			return old, nil
		}
	}
	p, err := New(document, Options{
		Placer: s.placer(preset), Seed: s.seed, Preset: preset, Organisations: c.Organisations,
	})
	if err != nil {
		return nil, err
	}
	return &boundPolicy{p, document, preset, c.Organisations}, nil
}

// Primary returns the primary policy of the active preset; only its placement is carried
// out. It returns nil before the first Apply.
func (s *Set) Primary() core.Policy {
	current := s.current.Load()
	if current == nil {
		return nil
	}
	return current.primary
}

// Policy returns the policy of an organisation, which changes only with the shares of the
// configuration. It must not be called before the first Apply.
func (s *Set) Policy(org core.Organisation) core.Policy {
	ranges := s.current.Load().ranges
	if len(ranges) == 1 {
		return ranges[0].policy
	}
	const hashSpace = 1 << 53 // float64 represents integers up to 2^53 exactly
	point := float64(xxhash.Sum64String(string(org))%hashSpace) / hashSpace
	i, found := slices.BinarySearchFunc(ranges, point, func(r policyRange, p float64) int { return cmp.Compare(r.end, p) })
	if found {
		i++
	}
	return ranges[min(i, len(ranges)-1)].policy
}
