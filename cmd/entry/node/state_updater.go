package node

import (
	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/load"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/io/digest"
	"gorseline/io/forward"
	"gorseline/io/target"
	"gorseline/platform"
)

// beliefs keeps the parts of an instance in step with the configuration and the registry,
// whether the platform or a peer told of them.
type beliefs struct {
	board   *load.Tracker
	health  *retry.Health
	pool    *target.Pool
	roster  *roster.Roster
	tracker *catchup.Tracker
	clock   core.ClockProvider
	log     log.Interface
	// The parts below are set while the application is assembled.
	forwarder *forward.Forwarder
	digests   *digest.Node
	watcher   *platform.Watcher
}

var _ digest.Snapshots = (*beliefs)(nil)

func newBeliefs(
	b *load.Tracker, h *retry.Health, pool *target.Pool, r *roster.Roster, tracker *catchup.Tracker,
	clock core.ClockProvider, l log.Interface,
) *beliefs {
	return &beliefs{board: b, health: h, pool: pool, roster: r, tracker: tracker, clock: clock, log: l}
}

// Configuration returns the configuration in force, or nil.
func (b *beliefs) Configuration() *core.Forwarding {
	if t := b.forwarder.Table(); t != nil {
		return t.Configuration()
	}
	return nil
}

// ApplyConfiguration brings a newer configuration into force.
func (b *beliefs) ApplyConfiguration(c *core.Forwarding) {
	if !b.forwarder.Configure(route.NewTable(c)) {
		return
	}
	b.tracker.SetVersion(catchup.Configuration, uint64(c.Version))
	b.log.WithFields(log.Fields{"Configuration": c.Version, "Routes": len(c.Routes)}).Info("ConfigurationInForce")
	b.digests.Announce()
	for e := range b.roster.View().All {
		b.setCapacity(&e.Registration)
	}
}

// Targets returns the list of targets.
func (b *beliefs) Targets() *roster.View { return b.roster.View() }

// ApplyTargets replaces the list of targets unless it is newer.
func (b *beliefs) ApplyTargets(list digest.TargetList) {
	b.watcher.PublishChanges(b.roster.Replace(b.clock.Now(), list.Version, list.Targets))
}

func (b *beliefs) setCapacity(r *core.Registration) {
	c := b.Configuration()
	if c == nil {
		return
	}
	if engine := c.Services[r.Service].Engine; engine != nil {
		b.board.SetCapacity(r.ID, engine.CacheTokens)
	}
}

// changed follows changes of targets. What was learned about an earlier start of a target
// does not hold for the next.
func (b *beliefs) changed(changes []roster.Change) {
	for i := range changes {
		c := &changes[i]
		switch c.Kind {
		case roster.Restarted, roster.Removed, roster.Moved:
			b.board.RemoveTarget(c.Registration.ID)
			b.health.Forget(c.Registration.ID)
			b.pool.DiscardIdle(c.Registration.Address)
		}
		if c.Kind != roster.Removed {
			b.setCapacity(&c.Registration)
		}
	}
}
