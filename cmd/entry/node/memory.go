package node

import (
	"math"

	"gorseline/core"
	"gorseline/core/intake"
	"gorseline/platform"
)

const (
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of the memory that
	// the platform allows.
	memoryLimitShare = 0.7
	// baseMemory is the memory in bytes that an instance of a large fleet needs beside the requests of callers, and
	// maxBaseShare bounds it as a share of the soft limit of a small machine.
	baseMemory   = 48 << 20
	maxBaseShare = 1.0 / 3
	// intakeShare is the share of the remaining memory that the requests of callers may hold. The rest is room for memory
	// that is no longer used and not collected yet, and for a body that is being copied.
	intakeShare = 0.9
)

// softMemoryLimit returns the soft memory limit of the runtime in bytes, or 0 if the settings have no limit.
func softMemoryLimit(settings platform.Settings) int64 {
	return int64(memoryLimitShare * float64(settings.MemoryBytes))
}

// newIntake returns the budget of the memory that callers' requests hold.
func newIntake(settings platform.Settings, clock core.ClockProvider) *intake.Budget {
	soft := float64(softMemoryLimit(settings))
	if soft <= 0 {
		return intake.NewBudget(math.MaxInt64, clock)
	}
	return intake.NewBudget(int64(intakeShare*(soft-min(baseMemory, maxBaseShare*soft))), clock)
}

// registerIntakeGauges registers the gauges of the memory that callers' requests hold.
func registerIntakeGauges(i *instruments, b *intake.Budget) {
	i.registerGauge("IntakeBytes", func() int64 { return b.Stats().Used })
	i.registerGauge("IntakeLimit", func() int64 { return b.Stats().Limit })
	i.registerGauge("IntakeCut", func() int64 { return b.Stats().Cut })
	i.registerGauge("IntakeRefused", func() int64 { return b.Stats().Refused })
}

// registerConnectionGauges registers the gauges of callers' connections.
func registerConnectionGauges(i *instruments, c *connections) {
	i.registerGauge("CallerSockets", func() int64 {
		sockets, _, _ := c.stats()
		return int64(sockets)
	})
	i.registerGauge("CallerSocketsLimit", func() int64 { return int64(c.limit) })
	i.registerGauge("ConnectionsEvicted", func() int64 {
		_, evicted, _ := c.stats()
		return evicted
	})
	i.registerGauge("ConnectionsRefused", func() int64 {
		_, _, refused := c.stats()
		return refused
	})
}
