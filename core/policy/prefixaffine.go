package policy

import (
	"gorseline/core"
	"gorseline/core/routing"
)

// AffineParameters are the parameters of the PrefixAffine policy.
type AffineParameters struct {
	SimpleParameters
	// LoadBound is the load, relative to the mean, up to which a target receives work;
	// above it, the next target in ring order is used.
	LoadBound float64
}

func (p AffineParameters) validate(path string) error {
	return firstError(
		p.SimpleParameters.validate(path),
		validateRange(path, "LoadBound", p.LoadBound, 1.01, 10),
	)
}

func init() {
	defaults := AffineParameters{SimpleParameters: SimpleParameters{MaxConcurrent: maximumConcurrent}, LoadBound: 1.25}
	register("PrefixAffine", defaults, newPrefixAffine)
}

func newPrefixAffine(p AffineParameters, options Options) (core.Router, core.Admitter) {
	return routing.NewPrefixAffine(p.LoadBound), p.admitter(options)
}
