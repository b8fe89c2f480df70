package instance

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/fx"

	"gorseline/cmd/lifecycle"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/timeline"
)

// Kinds of events for state changes of this instance, other instances and targets.
const (
	eventMemberChanged    core.EventKind = "MemberChanged"
	eventTargetChanged    core.EventKind = "TargetChanged"
	eventReadinessChanged core.EventKind = "ReadinessChanged"
	eventLeasesChanged    core.EventKind = "LeasesChanged"
)

// observeInterval is the polling interval. A state that lasts less may be missed.
const observeInterval = time.Second

// observer polls for state changes that no decision of this instance records: membership,
// leases, the states of targets and circuits, and whether this instance accepts new work.
type observer struct {
	observerInputs
	// These fields hold the state at the last observation.
	members           map[core.InstanceID]string
	targets           map[core.TargetID]string
	leases, readiness string
	// hasBaseline is set once leases and readiness have been observed.
	hasBaseline bool
}

type observerInputs struct {
	fx.In

	Lifecycle fx.Lifecycle
	Control   *control
	Serving   *serving
	Authority *leaseAuthority
	Shutdown  *shutdown
	Recorder  core.Recorder
}

func observeChanges(in observerInputs) {
	lifecycle.Register(in.Lifecycle, newLoop((&observer{observerInputs: in}).run))
}

func (o *observer) run(ctx context.Context) {
	pause.Every(ctx, observeInterval, o.observe)
}

func (o *observer) observe() {
	members := map[core.InstanceID]string{}
	for _, record := range o.Control.member.Members() {
		members[record.ID] = record.Status.String()
	}
	reportChanges(o.members, members, func(id core.InstanceID, from, to string) {
		o.record(eventMemberChanged, "", "Member", string(id), from, to)
	})
	o.members = members
	o.observeTargets()
	leases := strings.Trim(fmt.Sprint(o.Authority.heldShards()), "[]")
	ready := "Ready"
	if refusal := o.Shutdown.CheckAdmission(); refusal != nil {
		ready = refusal.Kind + ": " + refusal.Message
	}
	if o.hasBaseline && leases != o.leases {
		o.record(eventLeasesChanged, "", "", "", o.leases, leases)
	}
	if o.hasBaseline && ready != o.readiness {
		o.record(eventReadinessChanged, "", "", "", o.readiness, ready)
	}
	o.leases, o.readiness, o.hasBaseline = leases, ready, true
}

// observeTargets records changes of the states of targets. Each instance records its own
// circuits. Other changes are recorded only by the holder of the target's shard, so that they
// appear once.
func (o *observer) observeTargets() {
	targets := map[core.TargetID]string{}
	held := map[core.TargetID]bool{}
	shards := o.Authority.heldShards()
	for _, s := range o.Serving.fleet.States() {
		targets[s.ID] = targetStatus(s).State
		if targets[s.ID] != o.targets[s.ID] {
			held[s.ID] = slices.Contains(shards, o.Authority.shardOf(s.Target))
		}
	}
	const circuitOpen = "CircuitOpen"
	reportChanges(o.targets, targets, func(id core.TargetID, from, to string) {
		if held[id] || from == circuitOpen || to == circuitOpen {
			o.record(eventTargetChanged, id, "", "", from, to)
		}
	})
	o.targets = targets
}

// reportChanges calls report for each entry that differs between before and after; the value
// of an absent entry is empty. It reports nothing if before is nil, at the first observation.
func reportChanges[K comparable](before, after map[K]string, report func(key K, from, to string)) {
	if before == nil {
		return
	}
	for key, to := range after {
		if from := before[key]; from != to {
			report(key, from, to)
		}
	}
	for key, from := range before {
		if _, present := after[key]; !present {
			report(key, from, "")
		}
	}
}

// record records a change from one state to another; an empty state is recorded as None. If
// name is not empty, the event also has value under that name.
func (o *observer) record(kind core.EventKind, target core.TargetID, name, value, from, to string) {
	var in timeline.Inputs
	in.Text(name, value).Text("From", orNone(from)).Text("To", orNone(to))
	o.Recorder.Record(core.Event{Kind: kind, Target: target, Detail: in.String()})
}

func orNone(s string) string {
	if s == "" {
		return "None"
	}
	return s
}
