package policy

import (
	"gorseline/core"
	"gorseline/core/admission"
)

// maximumConcurrent is the largest accepted concurrency limit of one instance.
const maximumConcurrent = 1 << 20

// SimpleParameters are the parameters of the policies without admission control.
type SimpleParameters struct {
	// MaxConcurrent bounds requests in flight per model or service on one instance.
	MaxConcurrent int
}

func (p SimpleParameters) validate(path string) error {
	return within(path, "MaxConcurrent", p.MaxConcurrent, 1, maximumConcurrent)
}

func (p SimpleParameters) admitter(options Options) core.Admitter {
	settings := admission.Unlimited()
	settings.MaxConcurrent, settings.MinConcurrent = p.MaxConcurrent, p.MaxConcurrent
	settings.OrganisationLimits = organisationLimits(options)
	return admission.NewController(settings, options.source())
}

func organisationLimits(options Options) map[core.Organisation]int {
	result := make(map[core.Organisation]int)
	for name, document := range options.Organisations {
		if document.MaxConcurrent > 0 {
			result[name] = document.MaxConcurrent
		}
	}
	return result
}
