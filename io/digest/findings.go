package digest

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/quarantine"
)

// releaseSurvived releases the quarantined traits that targets have survived.
func (q *evidence) releaseSurvived() {
	q.mu.Lock()
	answered := q.answered
	q.answered = map[uint64]core.Instant{}
	q.mu.Unlock()
	now := q.node.opts.Clock.Now()
	for trait, at := range answered {
		survivedAt, isSurvived := q.suspects.LatestSurvival(now, trait)
		finding, ok := q.findings.Find(trait)
		switch {
		case !ok || finding.IsReleased:
		case isSurvived && survivedAt >= at:
			q.merge(finding.WithRelease(), sourceSurvived)
		case now.Sub(at) < quarantine.MaxSettleTime:
			q.mu.Lock()
			q.answered[trait] = max(at, q.answered[trait])
			q.mu.Unlock()
		}
	}
}

// FindingSource states where a finding comes from.
type FindingSource string

// Sources of findings. Those of this instance are sent to all peers.
const (
	sourceJudged   FindingSource = "Judged"
	sourceSurvived FindingSource = "Survived"
	sourcePeer     FindingSource = "Peer"
	SourceStore    FindingSource = "Store"
	SourceProbe    FindingSource = "Probe"
)

// MergeFinding records a finding. It returns false if a newer record of the trait is known.
func (n *Node) MergeFinding(f quarantine.Finding, source FindingSource) bool {
	return n.evidence.merge(f, source)
}

func (q *evidence) merge(f quarantine.Finding, source FindingSource) bool {
	before, _ := q.findings.Find(f.Trait)
	if !q.findings.Merge(f) {
		return false
	}
	q.suspects.Forget(f.Trait)
	event := "Quarantined"
	switch {
	case f.IsReleased:
		event = "Released"
	case before.Revision > 0 && !before.IsReleased:
		event = "ProbeScheduled"
	}
	q.node.opts.Log.WithFields(log.Fields{
		traitField(f.Kind): core.FormatTrait(f.Trait), "Revision": f.Revision, "Before": before.Revision, "Source": string(source), "Probes": f.Probes,
		"ProbeAt": time.Unix(f.ProbeAt, 0).UTC().Format(time.RFC3339), "Quarantined": q.findings.Count(),
	}).Warn(eventPrefix(f.Kind) + event)
	if source != sourcePeer && source != SourceStore {
		q.mu.Lock()
		q.repeats[f.Trait] = findingRepeats
		q.mu.Unlock()
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
	return true
}

// traitField and eventPrefix return the name of the log field with the ID of a trait, and the beginning
// of the names of events about it.
func traitField(kind core.TraitKind) string {
	if kind == core.TraitRequest {
		return "Fingerprint"
	}
	return "Part"
}

func eventPrefix(kind core.TraitKind) string {
	if kind == core.TraitRequest {
		return "Request"
	}
	return "Part"
}

// announceFindings sends new findings to all peers.
func (q *evidence) announceFindings() {
	var list []quarantine.Finding
	q.mu.Lock()
	for trait, left := range q.repeats {
		if finding, ok := q.findings.Find(trait); ok {
			list = append(list, finding)
		}
		if q.repeats[trait] = left - 1; left <= 1 {
			delete(q.repeats, trait)
		}
	}
	q.mu.Unlock()
	for chunk := range slices.Chunk(list, findingsPerPacket) {
		q.node.streams.sendAll(&packet{Kind: packetFindings, Findings: chunk})
	}
}

// loopFindings releases the traits that targets have survived. It sends some of the findings to random
// peers at intervals, so that they reach all instances despite lost datagrams, partitions and restarts.
func (q *evidence) loopFindings(ctx context.Context) {
	pause.Every(ctx, findingInterval, func() {
		q.releaseSurvived()
		homes := q.node.streams.homes.Load()
		if len(homes.peers) == 0 {
			return
		}
		to := make([]net.Addr, findingPeers)
		for i := range to {
			to[i] = net.UDPAddrFromAddrPort(homes.peers[rand.IntN(len(homes.peers))].address)
		}
		q.sendSome(to...)
	})
}

// sendSome sends the next findings in turn.
func (q *evidence) sendSome(to ...net.Addr) {
	all := q.findings.All()
	if len(all) == 0 {
		return
	}
	q.mu.Lock()
	start := q.next % len(all)
	q.next = start + findingsPerPacket
	q.mu.Unlock()
	chunk := all[start:min(len(all), start+findingsPerPacket)]
	q.node.streams.send(&packet{Kind: packetFindings, Findings: chunk}, to...)
}

// sendTo sends all findings to an instance that has started or has missed datagrams.
func (q *evidence) sendTo(addresses ...string) {
	to := q.node.streams.known(addresses)
	if len(to) == 0 {
		return
	}
	for chunk := range slices.Chunk(q.findings.All(), findingsPerPacket) {
		q.node.streams.send(&packet{Kind: packetFindings, Findings: chunk}, to...)
	}
}
