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

// loopEvents records revisions that come into force and changes of readiness.
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
			if now := m.Ready(); now != last {
				last = now
				m.record(EventReadinessChanged, fmt.Sprintf("ready %t %s", now.Ready, now.Reason))
				m.options.Log.WithField("ready", now.Ready).Info("configuration: readiness changed " + now.Reason)
			}
		}
	}
}

func (m *Member) recordMember(r membership.Record) {
	name := string(r.ID)
	if name == "" {
		name = "data centre " + string(r.DataCentre)
	}
	m.record(EventMemberChanged, fmt.Sprintf("%s %s incarnation %d", name, r.Status, r.Incarnation))
}

// record adds an event to the timeline. The recorder stamps it.
func (m *Member) record(kind core.EventKind, detail string) {
	if m.options.Recorder != nil {
		m.options.Recorder.Record(core.Event{Instance: m.options.Self.ID, Kind: kind, Detail: detail})
	}
}
