package instance

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/fx"

	"gorseline/cmd/part"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/timeline"
)

// Kinds of events of what this instance sees of itself and of others.
const (
	eventMemberChanged    core.EventKind = "MemberChanged"
	eventTargetChanged    core.EventKind = "TargetChanged"
	eventReadinessChanged core.EventKind = "ReadinessChanged"
	eventLeasesChanged    core.EventKind = "LeasesChanged"
)

// observeInterval is the time between two looks. A state that lasts less is not seen.
const observeInterval = time.Second

// observer records changes that no single decision brings about: members that come and
// go, leases that expire, open circuits, and whether this instance takes new work.
type observer struct {
	observerInputs
	members map[core.InstanceID]string
	targets map[core.TargetID]string
	leases  string
	ready   string
	begun   bool
}

type observerInputs struct {
	fx.In

	Lifecycle   fx.Lifecycle
	Control     *control
	Serving     *serving
	Authorities *authorities
	Leaving     *leaving
	Recorder    core.Recorder
}

func observeChanges(in observerInputs) {
	part.Register(in.Lifecycle, newLoop((&observer{observerInputs: in}).run))
}

func (o *observer) run(ctx context.Context) {
	pause.Every(ctx, observeInterval, o.look)
}

func (o *observer) look() {
	members := map[core.InstanceID]string{}
	for _, r := range o.Control.member.Members() {
		members[r.ID] = r.Status.String()
	}
	changes(o.members, members, func(id core.InstanceID, from, to string) {
		o.record(eventMemberChanged, "", "Member", string(id), from, to)
	})
	o.members = members
	o.lookAtTargets()
	leases := strings.Trim(fmt.Sprint(o.Authorities.shards()), "[]")
	ready := "Ready"
	if refusal := o.Leaving.Gate(); refusal != nil {
		ready = refusal.Kind + ": " + refusal.Message
	}
	if o.begun && leases != o.leases {
		o.record(eventLeasesChanged, "", "", "", o.leases, leases)
	}
	if o.begun && ready != o.ready {
		o.record(eventReadinessChanged, "", "", "", o.ready, ready)
	}
	o.leases, o.ready, o.begun = leases, ready, true
}

// lookAtTargets records circuits, which each instance has its own of, and the states of
// targets whose shard this instance holds: the others would repeat these.
func (o *observer) lookAtTargets() {
	targets := map[core.TargetID]string{}
	held := map[core.TargetID]bool{}
	shards := o.Authorities.shards()
	for _, s := range o.Serving.fleet.States() {
		targets[s.ID] = targetStatus(s).State
		if targets[s.ID] != o.targets[s.ID] {
			held[s.ID] = slices.Contains(shards, o.Authorities.shardOf(s.Target))
		}
	}
	const open = "CircuitOpen"
	changes(o.targets, targets, func(id core.TargetID, from, to string) {
		if held[id] || from == open || to == open {
			o.record(eventTargetChanged, id, "", "", from, to)
		}
	})
	o.targets = targets
}

// changes reports the entries that differ; an absent one has no value. The first look
// has nothing to compare with.
func changes[K comparable](before, after map[K]string, report func(key K, from, to string)) {
	if before == nil {
		return
	}
	for key, to := range after {
		if from := before[key]; from != to {
			report(key, from, to)
		}
	}
	for key, from := range before {
		if _, still := after[key]; !still {
			report(key, from, "")
		}
	}
}

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
