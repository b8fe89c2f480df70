package node

import (
	"context"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/load"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/core/targetlimit"
	"gorseline/io/digest"
	"gorseline/io/forward"
	"gorseline/io/target"
	"gorseline/platform"
)

// stateUpdater applies changes of the configuration and of the list of targets to the
// components of an instance, whether they come from the platform or from a peer.
type stateUpdater struct {
	loads       *load.Tracker
	health      *retry.Health
	limits      *targetlimit.Limits
	pool        *target.Pool
	roster      *roster.Roster
	tracker     *catchup.Tracker
	currency    *catchup.Currency
	clock       core.ClockProvider
	log         log.Interface
	settings    platform.Settings
	instruments *instruments
	// The fields below are set while the application is assembled, because these components
	// depend on the updater.
	forwarder *forward.Forwarder
	digests   *digest.Node
	watcher   *platform.Watcher
}

var _ digest.Snapshots = (*stateUpdater)(nil)

func newStateUpdater(
	loads *load.Tracker, h *retry.Health, limits *targetlimit.Limits, pool *target.Pool, r *roster.Roster, tracker *catchup.Tracker,
	clock core.ClockProvider, l log.Interface, settings platform.Settings, i *instruments,
	currency *catchup.Currency,
) *stateUpdater {
	return &stateUpdater{
		loads: loads, health: h, limits: limits, pool: pool, roster: r, tracker: tracker, clock: clock, log: l,
		settings: settings, instruments: i, currency: currency,
	}
}

// Configuration returns the configuration in force, or nil.
func (u *stateUpdater) Configuration() *core.Forwarding {
	if t := u.forwarder.Table(); t != nil {
		return t.Configuration()
	}
	return nil
}

// errNoOrganisations rejects the configuration of an earlier build, which leaves out organisations. With it
// in force, requests would run without a check of their keys.
var errNoOrganisations = errors.New("the configuration comes from a build that leaves out organisations")

// ApplyConfiguration applies a configuration if it is newer than the one in force.
func (u *stateUpdater) ApplyConfiguration(c *core.Forwarding) error {
	if c.Format < core.ForwardingFormat && u.expectsOrganisations() {
		return errNoOrganisations
	}
	table := u.forwarder.Configure(route.NewTable(c))
	if table == nil {
		return nil
	}
	u.tracker.SetVersion(catchup.Configuration, uint64(c.Version))
	u.currency.SetVersion(uint64(c.Version))
	u.logConfiguration(table)
	u.instruments.RetainOrganisations(c)
	u.digests.Announce()
	for e := range u.roster.View().All {
		u.setCapacity(&e.Registration)
	}
	return nil
}

// expectsOrganisations reports whether a configuration without organisations is probably incomplete.
func (u *stateUpdater) expectsOrganisations() bool {
	current := u.Configuration()
	return u.settings.HasOrganisations || current != nil && current.HasOrganisations
}

// maxLoggedOrganisations bounds the organisations that a log line names.
const maxLoggedOrganisations = 8

// logConfiguration logs the configuration that has come into force.
func (u *stateUpdater) logConfiguration(t *route.Table) {
	c, keys := t.Configuration(), t.Keys()
	fields := log.Fields{"Configuration": c.Version, "Routes": len(c.Routes)}
	if changes := keys.Changes(); keys.IsEnforced() {
		fields["Organisations"], fields["Keys"] = len(c.Organisations), keys.Len()
		fields["KeysAdded"], fields["KeysDropped"] = changes.Added, changes.Dropped
		if len(changes.Losers) > 0 {
			fields["KeysDroppedOf"] = changes.Losers[:min(len(changes.Losers), maxLoggedOrganisations)]
		}
	}
	u.log.WithFields(fields).Info("ConfigurationInForce")
}

// Targets returns the list of targets.
func (u *stateUpdater) Targets() *roster.View { return u.roster.View() }

// ApplyTargets replaces the list of targets unless the current one is newer.
func (u *stateUpdater) ApplyTargets(list digest.TargetList) {
	u.watcher.PublishChanges(u.roster.ReplaceFromPeer(u.clock.Now(), list.Version, list.Targets, list.Lapsed))
}

var _ core.LeavingRecorder = (*stateUpdater)(nil)

// RecordLeaving marks a process of a target as leaving that has stated so, and tells the peers.
func (u *stateUpdater) RecordLeaving(id core.TargetID, started int64) {
	if u.ApplyLeaving(id, started) {
		u.log.WithFields(log.Fields{"Target": id, "Started": started, "Source": "Answer"}).Info("TargetStatesLeaving")
		u.digests.PublishLeaving(id, started)
	}
}

// ApplyLeaving marks a process of a target as leaving.
func (u *stateUpdater) ApplyLeaving(id core.TargetID, started int64) bool {
	changes := u.roster.MarkLeaving(id, started)
	if len(changes) == 0 {
		return false
	}
	u.watcher.PublishChanges(changes)
	return true
}

// confirmTargets reads the changes of the targets once.
func (u *stateUpdater) confirmTargets(ctx context.Context) error { return u.watcher.Confirm(ctx) }

// setCapacity sets the size of a target's KV cache by the limits of its service.
func (u *stateUpdater) setCapacity(r *core.Registration) {
	c := u.Configuration()
	if c == nil {
		return
	}
	if engine := c.Services[r.Service].Engine; engine != nil {
		u.loads.SetCapacity(r.ID, engine.CacheTokens)
	}
}

// applyTargetChanges applies changes of targets. A target that was restarted, moved or
// removed loses its load and health state and its idle connections, which belong to its
// earlier process.
func (u *stateUpdater) applyTargetChanges(changes []roster.Change) {
	for i := range changes {
		c := &changes[i]
		switch c.Kind {
		case roster.Restarted, roster.Removed, roster.Moved:
			u.loads.RemoveTarget(c.Registration.ID)
			u.health.Forget(c.Registration.ID)
			u.limits.Forget(c.Registration.ID)
			u.pool.DiscardIdle(c.Registration.Address)
		case roster.Leaving:
			u.pool.DiscardIdle(c.Registration.Address)
		}
		if c.Kind != roster.Removed {
			u.setCapacity(&c.Registration)
		}
	}
}
