package digest

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/core/common/random"
	"gorseline/core/quarantine"
)

const (
	// lossQueueLength is the capacity of the queue of lost requests. Those beyond it are dropped and
	// counted.
	lossQueueLength = 256
	// lossBatchInterval is the pause after a batch of losses. It limits what a crash of many engines
	// costs.
	lossBatchInterval = 50 * time.Millisecond
	// partsPerPacket is the number of parts from which no further loss is added to a datagram.
	partsPerPacket = 64
	// lossesPerPacket keeps a datagram of losses with few parts within maxPacketSize.
	lossesPerPacket = 10
	// repeatInterval is the time between two datagrams with the same losses or new findings, and
	// findingRepeats how often new findings are sent to all peers.
	repeatInterval = 300 * time.Millisecond
	findingRepeats = 3
	// questionTime is how long answers to a question are awaited. It is sent again in the middle.
	questionTime = 160 * time.Millisecond
	// questionQueueLength is the capacity of the queue of questions.
	questionQueueLength = 64
	// findingInterval is the time between two datagrams with known findings to findingPeers random
	// peers, each with up to findingsPerPacket of them.
	findingInterval   = time.Second
	findingPeers      = 2
	findingsPerPacket = 30
	// askers is the number of instances that ask about a part beside the one that reports a loss.
	askers = 2
)

// QuarantineStats counts events since the start of the process.
type QuarantineStats struct {
	// Lost counts lost requests of this instance, Dropped those that were not reported.
	Lost, Dropped uint64
	// Quarantined is the number of parts that are quarantined now.
	Quarantined int
}

// parts exchanges the evidence against parts of prompts, and the parts that crash engines.
type parts struct {
	node     *Node
	suspects *quarantine.Suspects
	findings *quarantine.Findings
	queue    chan quarantine.Loss
	// questions holds the parts about which instances are to be asked.
	questions chan uint64
	// changed has a value after a change of the findings.
	changed chan struct{}

	lost, dropped atomic.Uint64

	mu sync.Mutex
	// serial identifies the present question, answers holds its answers by address.
	serial  uint32
	answers map[string]uint64
	// repeats holds how often findings are still to be sent to all peers, by part.
	repeats map[uint64]int
	// next is the index of the next finding to send.
	next int
}

var _ core.PartQuarantine = (*Node)(nil)

func newParts(n *Node) *parts {
	return &parts{
		node: n, suspects: quarantine.NewSuspects(), findings: quarantine.NewFindings(),
		queue: make(chan quarantine.Loss, lossQueueLength), questions: make(chan uint64, questionQueueLength),
		changed: make(chan struct{}, 1), repeats: map[uint64]int{},
	}
}

// QuarantinedPart returns the index of the first quarantined part of a prompt, or false.
func (n *Node) QuarantinedPart(p *core.Prompt) (index int, ok bool) {
	return n.parts.findings.First(p.SharedParts())
}

// TakeProbe reports whether a request with a quarantined part may be sent once.
func (n *Node) TakeProbe(p *core.Prompt) bool {
	return n.parts.findings.TakeProbe(n.opts.Clock.Now(), p.SharedParts())
}

// IsSuspect reports whether several engines were lost under a part of the prompt.
func (n *Node) IsSuspect(p *core.Prompt) bool {
	return n.parts.suspects.IsSuspect(n.opts.Clock.Now(), p.SharedParts())
}

// RecordSurvived records that an engine has survived the beginning of the answer to a prompt. It
// releases quarantined parts of it.
func (n *Node) RecordSurvived(target *core.Registration, p *core.Prompt) {
	now := n.opts.Clock.Now()
	n.parts.suspects.RecordSurvived(now, p.SharedParts())
	n.parts.suspects.RecordProcessSurvived(now, target)
	for _, part := range p.SharedParts() {
		if finding, ok := n.parts.findings.Find(part.ID); ok && !finding.IsReleased {
			n.parts.merge(finding.WithRelease(), sourceSurvived)
		}
	}
}

// RecordLost reports a request that an engine lost. A request with a quarantined part says nothing
// about its other parts.
func (n *Node) RecordLost(lost core.LostRequest) {
	q := n.parts
	q.lost.Add(1)
	_, isExplained := q.findings.First(lost.Prompt.SharedParts())
	loss := q.suspects.NewLoss(n.opts.Clock.Now(), &lost)
	n.opts.Log.WithFields(log.Fields{
		"Request": lost.Request, "Target": lost.Target.ID, "Address": lost.Target.Address, "Started": lost.Target.Started,
		"Parts": formatParts(loss.Parts), "WeightMilli": loss.Weight, "RepeatWeightMilli": loss.RepeatWeight, "Explained": isExplained,
	}).Warn("RequestLost")
	if isExplained || len(loss.Parts) == 0 {
		return
	}
	select {
	case q.queue <- loss:
	default:
		q.dropped.Add(1)
	}
}

func formatParts(parts []uint64) string {
	var b strings.Builder
	for i, part := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(core.FormatPart(part))
	}
	return b.String()
}

// QuarantineStats returns the counts of lost requests and quarantined parts.
func (n *Node) QuarantineStats() QuarantineStats {
	return QuarantineStats{Lost: n.parts.lost.Load(), Dropped: n.parts.dropped.Load(), Quarantined: n.parts.findings.Count()}
}

// Findings returns the parts that were found. MergeFinding changes them.
func (n *Node) Findings() *quarantine.Findings { return n.parts.findings }

// FindingsChanged returns a channel that has a value after a change of the findings.
func (n *Node) FindingsChanged() <-chan struct{} { return n.parts.changed }

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

// MergeFinding records a finding. It returns false if a newer record of the part is known.
func (n *Node) MergeFinding(f quarantine.Finding, source FindingSource) bool {
	return n.parts.merge(f, source)
}

func (q *parts) merge(f quarantine.Finding, source FindingSource) bool {
	before, _ := q.findings.Find(f.Part)
	if !q.findings.Merge(f) {
		return false
	}
	q.suspects.Forget(f.Part)
	event := "PartQuarantined"
	switch {
	case f.IsReleased:
		event = "PartReleased"
	case before.Revision > 0 && !before.IsReleased:
		event = "PartProbeScheduled"
	}
	q.node.opts.Log.WithFields(log.Fields{
		"Part": core.FormatPart(f.Part), "Revision": f.Revision, "Before": before.Revision, "Source": string(source), "Probes": f.Probes,
		"ProbeAt": time.Unix(f.ProbeAt, 0).UTC().Format(time.RFC3339), "Quarantined": q.findings.Count(),
	}).Warn(event)
	if source != sourcePeer && source != SourceStore {
		q.mu.Lock()
		q.repeats[f.Part] = findingRepeats
		q.mu.Unlock()
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
	return true
}

// loopLosses reports lost requests to all peers, each twice since datagrams may be lost.
func (q *parts) loopLosses(ctx context.Context) {
	var sent []quarantine.Loss
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.sendLosses(sent)
			sent = nil
			q.announceFindings()
		case l := <-q.queue:
			batch := q.collect(l)
			q.sendLosses(batch)
			sent = append(sent, batch...)
			for _, l := range batch {
				q.consider(l, true)
			}
			pause.For(ctx, lossBatchInterval)
		}
	}
}

// collect returns a loss with those that are queued after it, as many as fit in a datagram.
func (q *parts) collect(first quarantine.Loss) []quarantine.Loss {
	batch, count := []quarantine.Loss{first}, len(first.Parts)
	for len(batch) < lossesPerPacket && count < partsPerPacket {
		select {
		case l := <-q.queue:
			batch, count = append(batch, l), count+len(l.Parts)
		default:
			return batch
		}
	}
	return batch
}

// sendLosses sends losses to all peers.
func (q *parts) sendLosses(losses []quarantine.Loss) {
	for chunk := range slices.Chunk(losses, lossesPerPacket) {
		q.node.streams.sendAll(&packet{Kind: packetLosses, Losses: chunk})
	}
}

// consider adds a loss to the evidence. If that suffices against a part, it queues a question to all
// instances. isOwn is set if this instance reports the loss.
func (q *parts) consider(l quarantine.Loss, isOwn bool) {
	l.Parts = slices.DeleteFunc(slices.Clone(l.Parts), q.findings.Has)
	now := q.node.opts.Clock.Now()
	part, ok := q.suspects.Add(now, l)
	if !ok || !isOwn && !q.isAsker(part) || !q.suspects.StartQuestion(now, part) {
		return
	}
	select {
	case q.questions <- part:
	default: // asked again after the next loss
	}
}

// isAsker reports whether this instance is among those that ask about a part, by rendezvous hashing.
func (q *parts) isAsker(part uint64) bool {
	own := weight(part, q.node.opts.Self.ID)
	before := 0
	for _, p := range q.node.streams.homes.Load().peers {
		if weight(part, p.id) > own {
			before++
		}
	}
	return before < askers
}

// loopQuestions asks all instances whether engines have survived the parts in the queue, and
// decides on them.
func (q *parts) loopQuestions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case part := <-q.questions:
			if q.findings.Has(part) {
				continue
			}
			survived, answers := q.ask(ctx, part)
			if ctx.Err() == nil {
				q.decide(part, survived, answers)
			}
		}
	}
}

// ask returns how many requests with a part engines have survived elsewhere, and how many instances
// have answered.
func (q *parts) ask(ctx context.Context, part uint64) (survived uint64, answers int) {
	q.mu.Lock()
	q.serial = q.node.serial.Add(1)
	q.answers = map[string]uint64{}
	question := &packet{Kind: packetPartQuestion, Serial: q.serial, Part: part}
	q.mu.Unlock()
	for range 2 {
		q.node.streams.sendAll(question)
		pause.For(ctx, questionTime/2)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, count := range q.answers {
		survived += count
	}
	answers = len(q.answers)
	q.answers = nil
	return survived, answers
}

// decide quarantines a part if the evidence against it still suffices.
func (q *parts) decide(part, survivedElsewhere uint64, answers int) {
	verdict := q.suspects.Decide(q.node.opts.Clock.Now(), part, survivedElsewhere)
	q.node.opts.Log.WithFields(log.Fields{
		"Part": core.FormatPart(part), "Found": verdict.IsFound, "ScoreMilli": int64(1000 * verdict.Score),
		"ThresholdMilli": int64(1000 * quarantine.Threshold), "Losses": verdict.Losses, "Survived": verdict.Survived,
		"Answers": answers, "Asked": q.node.streams.homes.Load().Count(),
	}).Warn("PartJudged")
	if !verdict.IsFound {
		// Otherwise each instance that loses such a request would ask all others.
		q.node.streams.sendAll(&packet{Kind: packetPartSurvived, Part: part, Survived: verdict.Survived})
		return
	}
	if q.findings.Has(part) {
		return
	}
	before, _ := q.findings.Find(part)
	finding := quarantine.Finding{Part: part, Revision: before.Revision, Probes: before.Probes}
	q.merge(finding.WithNextProbe(time.Now()), sourceJudged)
	q.announceFindings()
}

// announceFindings sends new findings to all peers.
func (q *parts) announceFindings() {
	var list []quarantine.Finding
	q.mu.Lock()
	for part, left := range q.repeats {
		if finding, ok := q.findings.Find(part); ok {
			list = append(list, finding)
		}
		if q.repeats[part] = left - 1; left <= 1 {
			delete(q.repeats, part)
		}
	}
	q.mu.Unlock()
	for chunk := range slices.Chunk(list, findingsPerPacket) {
		q.node.streams.sendAll(&packet{Kind: packetFindings, Findings: chunk})
	}
}

// loopFindings sends some of the findings to random peers at intervals, so that they reach all
// instances despite lost datagrams, partitions and restarts.
func (q *parts) loopFindings(ctx context.Context) {
	pause.Every(ctx, findingInterval, func() {
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
func (q *parts) sendSome(to ...net.Addr) {
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
func (q *parts) sendTo(addresses ...string) {
	to := q.node.streams.known(addresses)
	if len(to) == 0 {
		return
	}
	for chunk := range slices.Chunk(q.findings.All(), findingsPerPacket) {
		q.node.streams.send(&packet{Kind: packetFindings, Findings: chunk}, to...)
	}
}

func (q *parts) handle(p *packet, from net.Addr) {
	switch p.Kind {
	case packetLosses:
		for _, l := range p.Losses {
			q.consider(l, false)
		}
	case packetPartQuestion:
		survived := q.suspects.Survived(q.node.opts.Clock.Now(), p.Part)
		q.node.streams.send(&packet{Kind: packetPartAnswer, Serial: p.Serial, Part: p.Part, Survived: survived}, from)
	case packetPartAnswer:
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.answers != nil && p.Serial == q.serial {
			q.answers[from.String()] = p.Survived
		}
	case packetPartSurvived:
		q.suspects.Acquit(p.Part, p.Survived)
	case packetFindings:
		for _, f := range p.Findings {
			q.merge(f, sourcePeer)
		}
	}
}

// weight ranks instances for a part.
func weight(part uint64, id core.InstanceID) uint64 {
	hash := uint64(0)
	for i := range len(id) {
		hash = random.Mix(hash ^ uint64(id[i]))
	}
	return random.Mix(part ^ hash)
}
