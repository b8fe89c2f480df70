package node

import (
	"context"
	"slices"

	"gorseline/core"
	"gorseline/core/catchup"
	"gorseline/core/roster"
	"gorseline/core/streamstart"
	"gorseline/io/digest"
)

// streamSource provides the versions of targets that streams may begin at.
type streamSource struct {
	tracker *catchup.Tracker
	roster  *roster.Roster
	// confirm reads the changes of the targets.
	confirm func(ctx context.Context) error
	// configuration returns the configuration in force, or nil.
	configuration func() *core.Forwarding
}

var _ digest.StreamSource = streamSource{}

// Confirm reads the changes of the targets.
func (s streamSource) Confirm(ctx context.Context) error { return s.confirm(ctx) }

// Observation returns the present targets and routes. Targets that leave count, since their
// streams go on.
func (s streamSource) Observation() streamstart.Observation {
	var o streamstart.Observation
	o.AsOf, o.IsConfirmed = s.tracker.CurrentAt()
	o.Configuration = s.configuration()
	o.Versions = map[core.Service][]core.SoftwareVersion{}
	for e := range s.roster.View().All {
		if versions := o.Versions[e.Service]; !slices.Contains(versions, e.Version) {
			o.Versions[e.Service] = append(versions, e.Version)
		}
	}
	return o
}

// registerStreamGauges registers the counts of the records of streams.
func registerStreamGauges(i *instruments, d *digest.Node) {
	for name, value := range map[string]func(digest.StreamStats) uint64{
		"StreamRecordsSent":     func(s digest.StreamStats) uint64 { return s.Sent },
		"StreamRecordsReceived": func(s digest.StreamStats) uint64 { return s.Received },
		"StreamRecordsDropped":  func(s digest.StreamStats) uint64 { return s.Dropped },
		"StreamRecordsEvicted":  func(s digest.StreamStats) uint64 { return s.Evicted },
		"StreamRecordsHeld":     func(s digest.StreamStats) uint64 { return uint64(s.Held) },
	} {
		i.registerGauge(name, func() int64 { return int64(value(d.StreamStats())) })
	}
	for _, result := range streamstart.Results {
		i.registerGauge("StreamLookups."+string(result), func() int64 { return int64(d.StreamStats().Lookups[result]) })
	}
}
