package peer

import (
	"context"
	"fmt"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
)

// Kinds of events that this package records.
const (
	EventRevisionApplied  core.EventKind = "RevisionApplied"
	EventMemberChanged    core.EventKind = "MemberChanged"
	EventReadinessChanged core.EventKind = "ReadinessChanged"
)

// loopEvents records and logs applied revisions and changes of readiness.
func (m *Member) loopEvents(ctx context.Context) {
	revisions, cancel := m.options.Applier.Subscribe()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var last configuration.Readiness
	for {
		select {
		case <-ctx.Done():
			return
		case revision := <-revisions:
			preset := m.Configuration().PresetInForce
			m.record(EventRevisionApplied, fmt.Sprintf("revision %d preset %s", revision, preset))
			m.options.Log.WithField("revision", revision).WithField("preset", preset).Info("configuration: revision in force")
		case <-ticker.C:
			if current := m.Ready(); current != last {
				last = current
				m.record(EventReadinessChanged, fmt.Sprintf("ready %t %s", current.Ready, current.Reason))
				m.options.Log.WithField("ready", current.Ready).Info("configuration: readiness changed " + current.Reason)
			}
		}
	}
}

// recordMemberChange records a change of a member. A record without an ID stands for a data
// centre.
func (m *Member) recordMemberChange(r membership.Record) {
	name := string(r.ID)
	if name == "" {
		name = "data centre " + string(r.DataCentre)
	}
	m.record(EventMemberChanged, fmt.Sprintf("%s %s incarnation %d", name, r.Status, r.Incarnation))
}

// record adds an event to the timeline. The recorder sets its timestamp.
func (m *Member) record(kind core.EventKind, detail string) {
	if m.options.Recorder != nil {
		m.options.Recorder.Record(core.Event{Instance: m.options.Self.ID, Kind: kind, Detail: detail})
	}
}
