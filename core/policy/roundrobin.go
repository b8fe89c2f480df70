package policy

import (
	"gorseline/core"
	"gorseline/core/routing"
)

func init() {
	register("RoundRobin", SimpleParameters{MaxConcurrent: maximumConcurrent}, newRoundRobin)
}

func newRoundRobin(p SimpleParameters, options Options) (core.Router, core.Admitter) {
	return routing.NewRoundRobin(), p.admitter(options)
}
