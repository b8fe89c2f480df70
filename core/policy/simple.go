package policy

import (
	"gorseline/core"
	"gorseline/core/admission"
)

// maximumConcurrent is the largest accepted value of MaxConcurrent, in requests.
const maximumConcurrent = 1 << 20

// SimpleParameters are the parameters of the policies without admission control.
type SimpleParameters struct {
	// MaxConcurrent limits requests in flight per model or service on one instance.
	MaxConcurrent int
}

func (p SimpleParameters) validate(path string) error {
	return validateRange(path, "MaxConcurrent", p.MaxConcurrent, 1, maximumConcurrent)
}

// admitter returns a controller that enforces only the concurrency limits.
func (p SimpleParameters) admitter(options Options) core.Admitter {
	limits := admission.Unlimited()
	limits.MaxConcurrent, limits.MinConcurrent = p.MaxConcurrent, p.MaxConcurrent
	limits.OrganisationLimits = organisationLimits(options)
	return admission.NewController(limits, options.source())
}

// organisationLimits returns the concurrency limits of the organisations that have one.
func organisationLimits(options Options) map[core.Organisation]int {
	result := make(map[core.Organisation]int)
	for name, document := range options.Organisations {
		if document.MaxConcurrent > 0 {
			result[name] = document.MaxConcurrent
		}
	}
	return result
}
