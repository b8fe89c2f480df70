package policy

import (
	"gorseline/core"
	"gorseline/core/routing"
)

func init() {
	register("LeastLoaded", SimpleParameters{MaxConcurrent: maximumConcurrent}, newLeastLoaded)
}

func newLeastLoaded(p SimpleParameters, options Options) (core.Router, core.Admitter) {
	return routing.NewLeastLoaded(options.source()), p.admitter(options)
}
