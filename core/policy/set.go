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

// Set builds the policies of the configuration in force and gives each organisation
// its policy. It is safe for concurrent use. A policy whose documents do not change
// keeps what it has learned and reserved over a new revision.
type Set struct {
	placer func(core.Preset) core.Placer
	seed   uint64

	mu      sync.Mutex
	current atomic.Pointer[assignment]
}

var _ core.PolicyProvider = (*Set)(nil)

// built is a policy with what it was built from.
type built struct {
	core.Policy
	document      core.PolicyDocument
	preset        core.Preset
	organisations map[core.Organisation]core.OrganisationDocument
}

// share is a policy with its part of the organisations, as the end of its range in
// the space of 64-bit hashes.
type share struct {
	policy *built
	end    float64
}

type assignment struct {
	shares  []share
	byName  map[string]*built
	inForce *built
}

// shareTolerance covers sums of shares such as 0.1 that have no exact binary form.
const shareTolerance = 1e-9

// NewSet returns a set without policies. placer makes the placement of a preset;
// seed starts the policies' randomness.
func NewSet(placer func(core.Preset) core.Placer, seed uint64) *Set {
	return &Set{placer: placer, seed: seed}
}

// Apply builds the policies of a configuration. Organisations outside the shares of an
// experiment get the preset's own policy. On an error the set stays as it is;
// a configuration that was validated gives none.
func (s *Set) Apply(c core.Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	preset := c.Preset()
	shares := slices.Clone(preset.Experiment)
	rest := 1.0
	for _, part := range shares {
		rest -= part.Share
	}
	if rest > shareTolerance {
		shares = append(shares, core.PolicyShare{Policy: preset.Policy, Share: rest})
	}
	next := &assignment{byName: map[string]*built{}}
	total := 0.0
	for _, part := range shares {
		p, err := s.build(c, preset, part.Policy)
		if err != nil {
			return err
		}
		total += part.Share
		next.byName[part.Policy] = p
		next.shares = append(next.shares, share{p, total})
	}
	inForce, err := s.build(c, preset, preset.Policy)
	if err != nil {
		return err
	}
	if shared, ok := next.byName[preset.Policy]; ok {
		inForce = shared
	}
	next.byName[preset.Policy], next.inForce = inForce, inForce
	s.current.Store(next)
	return nil
}

func (s *Set) build(c core.Configuration, preset core.Preset, name string) (*built, error) {
	document := c.Policies[name]
	if known := s.current.Load(); known != nil {
		old, ok := known.byName[name]
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
	return &built{p, document, preset, c.Organisations}, nil
}

// InForce returns the preset's own policy, whose placement is the one that is carried
// out. It is nil before the first Apply.
func (s *Set) InForce() core.Policy {
	current := s.current.Load()
	if current == nil {
		return nil
	}
	return current.inForce
}

// Policy returns the policy of an organisation, which stays the same while the
// shares do. It must not be called before the first Apply.
func (s *Set) Policy(org core.Organisation) core.Policy {
	shares := s.current.Load().shares
	if len(shares) == 1 {
		return shares[0].policy
	}
	const space = 1 << 53
	point := float64(xxhash.Sum64String(string(org))%space) / space
	i, found := slices.BinarySearchFunc(shares, point, func(s share, p float64) int { return cmp.Compare(s.end, p) })
	if found {
		i++
	}
	return shares[min(i, len(shares)-1)].policy
}
