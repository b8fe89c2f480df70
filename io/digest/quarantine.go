package digest

import (
	"context"
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
	// askers is the number of instances that ask about a trait beside the one that reports a loss.
	askers = 2
)

// QuarantineStats counts events since the start of the process.
type QuarantineStats struct {
	// Lost counts lost requests of this instance, Dropped those that were not reported.
	Lost, Dropped uint64
	// Parts and Requests are the numbers of parts and of whole requests that are quarantined now.
	Parts, Requests int
}

// evidence exchanges the evidence against traits of requests, and the traits that crash targets.
type evidence struct {
	node     *Node
	suspects *quarantine.Suspects
	findings *quarantine.Findings
	queue    chan quarantine.Loss
	// questions holds the traits about which instances are to be asked.
	questions chan uint64
	// changed has a value after a change of the findings.
	changed chan struct{}

	lost, dropped atomic.Uint64

	mu sync.Mutex
	// serial identifies the present question, answers holds its answers by address.
	serial  uint32
	answers map[string]uint64
	// repeats holds how often findings are still to be sent to all peers, by trait.
	repeats map[uint64]int
	// answered holds when a request with a quarantined trait, a probe, was answered completely.
	answered map[uint64]core.Instant
	// next is the index of the next finding to send.
	next int
}

var _ core.Quarantine = (*Node)(nil)

func newEvidence(n *Node) *evidence {
	return &evidence{
		node: n, suspects: quarantine.NewSuspects(), findings: quarantine.NewFindings(),
		queue: make(chan quarantine.Loss, lossQueueLength), questions: make(chan uint64, questionQueueLength),
		changed: make(chan struct{}, 1), repeats: map[uint64]int{}, answered: map[uint64]core.Instant{},
	}
}

// Quarantined returns the index of the first quarantined trait, or false.
func (n *Node) Quarantined(traits []core.Trait) (index int, ok bool) {
	return n.evidence.findings.First(traits)
}

// TakeProbe reports whether a request with a quarantined trait may be sent once.
func (n *Node) TakeProbe(traits []core.Trait) bool {
	return n.evidence.findings.TakeProbe(n.opts.Clock.Now(), traits)
}

// IsSuspect reports whether several targets were lost under requests with one of the traits.
func (n *Node) IsSuspect(traits []core.Trait) bool {
	return n.evidence.suspects.IsSuspect(n.opts.Clock.Now(), traits)
}

// RecordAlive records that a target has begun to answer a request. It tells all instances if the target
// was taken for lost.
func (n *Node) RecordAlive(target *core.Registration, sent core.Instant) {
	q := n.evidence
	if process, ok := q.suspects.RecordAnswer(target, sent); ok {
		q.suspects.RecordAlive(process)
		n.opts.Log.WithFields(log.Fields{"Target": target.ID, "Address": target.Address}).Warn("LostTargetAnswers")
		n.streams.sendAll(&packet{Kind: packetAlive, Process: process})
	}
}

// RecordSurvived records a complete answer. Quarantined traits of the request are released once that
// counts as survived.
func (n *Node) RecordSurvived(run *core.TargetRun) {
	q := n.evidence
	now := n.opts.Clock.Now()
	q.suspects.RecordSurvived(now, run)
	for _, t := range run.Traits {
		if q.findings.Has(t.ID) {
			q.mu.Lock()
			q.answered[t.ID] = now
			q.mu.Unlock()
		}
	}
}

// RecordStopped records a run that ended without saying anything about its traits.
func (n *Node) RecordStopped(run *core.TargetRun) {
	n.evidence.suspects.RecordStopped(n.opts.Clock.Now(), run)
}

// RecordLost reports a run that a target lost. A request with a quarantined trait says nothing about its
// other traits.
func (n *Node) RecordLost(run *core.TargetRun) {
	q := n.evidence
	q.lost.Add(1)
	now := n.opts.Clock.Now()
	_, isExplained := q.findings.First(run.Traits)
	loss := q.suspects.NewLoss(now, run)
	n.opts.Log.WithFields(log.Fields{
		"Request": run.Request, "Target": run.Target.ID, "Address": run.Target.Address, "Service": run.Target.Service,
		"Started": run.Target.Started, "Fingerprint": fingerprintOf(run.Traits), "Parts": formatParts(loss.Parts),
		"RanMs":       now.Sub(run.Sent).Milliseconds(),
		"WeightMilli": loss.Weight, "RepeatWeightMilli": loss.RepeatWeight, "RequestWeightMilli": loss.RequestWeight,
		"RequestRepeatWeightMilli": loss.RequestRepeatWeight, "Explained": isExplained,
	}).Warn("RequestLost")
	if !isExplained {
		q.report(loss)
	}
}

// report counts a loss of this instance and queues it for the others.
func (q *evidence) report(loss quarantine.Loss) {
	if !loss.HasSuspects() {
		return
	}
	q.consider(loss, true)
	select {
	case q.queue <- loss:
	default:
		q.dropped.Add(1)
	}
}

// reportAfterEnd reports the runs whose answers were complete shortly before their process was lost.
func (q *evidence) reportAfterEnd() {
	for _, loss := range q.suspects.LossesAfterEnd(q.node.opts.Clock.Now()) {
		if !loss.HasSuspects() {
			continue
		}
		q.node.opts.Log.WithFields(log.Fields{
			"Fingerprint": core.FormatTrait(loss.Fingerprint), "Parts": formatParts(loss.Parts), "WeightMilli": loss.Weight,
			"RequestWeightMilli": loss.RequestWeight,
		}).Warn("TargetLostAfterAnswer")
		q.report(loss)
	}
}

// fingerprintOf returns the fingerprint among traits as it appears in logs.
func fingerprintOf(traits []core.Trait) string {
	for _, t := range traits {
		if t.Kind == core.TraitRequest {
			return core.FormatTrait(t.ID)
		}
	}
	return ""
}

func formatParts(parts []uint64) string {
	var b strings.Builder
	for i, part := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(core.FormatTrait(part))
	}
	return b.String()
}

// QuarantineStats returns the counts of lost requests and quarantined traits.
func (n *Node) QuarantineStats() QuarantineStats {
	q := n.evidence
	return QuarantineStats{
		Lost: q.lost.Load(), Dropped: q.dropped.Load(),
		Parts: q.findings.CountKind(core.TraitPart), Requests: q.findings.CountKind(core.TraitRequest),
	}
}

// Findings returns the traits that were found. MergeFinding changes them.
func (n *Node) Findings() *quarantine.Findings { return n.evidence.findings }

// FindingsChanged returns a channel that has a value after a change of the findings.
func (n *Node) FindingsChanged() <-chan struct{} { return n.evidence.changed }

// loopLosses reports lost requests to all peers, each twice since datagrams may be lost.
func (q *evidence) loopLosses(ctx context.Context) {
	var sent []quarantine.Loss
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.reportAfterEnd()
			q.sendLosses(sent)
			sent = nil
			q.announceFindings()
		case l := <-q.queue:
			batch := q.collect(l)
			q.sendLosses(batch)
			sent = append(sent, batch...)
			pause.For(ctx, lossBatchInterval)
		}
	}
}

// collect returns a loss with those that are queued after it, as many as fit in a datagram.
func (q *evidence) collect(first quarantine.Loss) []quarantine.Loss {
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
func (q *evidence) sendLosses(losses []quarantine.Loss) {
	for chunk := range slices.Chunk(losses, lossesPerPacket) {
		q.node.streams.sendAll(&packet{Kind: packetLosses, Losses: chunk})
	}
}

// consider adds a loss to the evidence. If that suffices against a trait, it queues a question to all
// instances. isOwn is set if this instance reports the loss.
func (q *evidence) consider(l quarantine.Loss, isOwn bool) {
	l.Parts = slices.DeleteFunc(slices.Clone(l.Parts), q.findings.Has)
	if q.findings.Has(l.Fingerprint) {
		l.Fingerprint = 0
	}
	now := q.node.opts.Clock.Now()
	trait, ok := q.suspects.Add(now, l)
	if !ok || !isOwn && !q.isAsker(trait) || !q.suspects.StartQuestion(now, trait) {
		return
	}
	select {
	case q.questions <- trait:
	default: // asked again after the next loss
	}
}

// isAsker reports whether this instance is among those that ask about a trait, by rendezvous hashing.
func (q *evidence) isAsker(trait uint64) bool {
	own := weight(trait, q.node.opts.Self.ID)
	before := 0
	for _, p := range q.node.streams.homes.Load().peers {
		if weight(trait, p.id) > own {
			before++
		}
	}
	return before < askers
}

// loopQuestions asks all instances whether targets have survived the traits in the queue, and
// decides on them.
func (q *evidence) loopQuestions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case trait := <-q.questions:
			if q.findings.Has(trait) {
				continue
			}
			survived, answers := q.ask(ctx, trait)
			if ctx.Err() == nil {
				q.decide(trait, survived, answers)
			}
		}
	}
}

// ask returns how many requests with a trait targets have survived elsewhere, and how many instances
// have answered.
func (q *evidence) ask(ctx context.Context, trait uint64) (survived uint64, answers int) {
	q.mu.Lock()
	q.serial = q.node.serial.Add(1)
	q.answers = map[string]uint64{}
	question := &packet{Kind: packetSurvivalQuestion, Serial: q.serial, Trait: trait}
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

// decide quarantines a trait if the evidence against it still suffices.
func (q *evidence) decide(trait, survivedElsewhere uint64, answers int) {
	verdict := q.suspects.Decide(q.node.opts.Clock.Now(), trait, survivedElsewhere)
	q.node.opts.Log.WithFields(log.Fields{
		traitField(verdict.Kind): core.FormatTrait(trait), "Found": verdict.IsFound, "ScoreMilli": int64(1000 * verdict.Score),
		"ThresholdMilli": int64(1000 * verdict.Threshold), "Losses": verdict.Losses, "Survived": verdict.Survived,
		"Answers": answers, "Asked": q.node.streams.homes.Load().Count(),
	}).Warn(eventPrefix(verdict.Kind) + "Judged")
	if !verdict.IsFound {
		// Otherwise each instance that loses such a request would ask all others.
		q.node.streams.sendAll(&packet{Kind: packetAcquittal, Trait: trait, Survived: verdict.Survived})
		return
	}
	if q.findings.Has(trait) {
		return
	}
	before, _ := q.findings.Find(trait)
	finding := quarantine.Finding{Trait: trait, Kind: verdict.Kind, Revision: before.Revision, Probes: before.Probes}
	q.merge(finding.WithNextProbe(time.Now()), sourceJudged)
	q.announceFindings()
}

func (q *evidence) handle(p *packet, from net.Addr) {
	switch p.Kind {
	case packetLosses:
		for _, l := range p.Losses {
			q.consider(l, false)
		}
	case packetSurvivalQuestion:
		survived := q.suspects.Survived(q.node.opts.Clock.Now(), p.Trait)
		q.node.streams.send(&packet{Kind: packetSurvivalAnswer, Serial: p.Serial, Trait: p.Trait, Survived: survived}, from)
	case packetSurvivalAnswer:
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.answers != nil && p.Serial == q.serial {
			q.answers[from.String()] = p.Survived
		}
	case packetAcquittal:
		q.suspects.Acquit(p.Trait, p.Survived)
	case packetAlive:
		q.suspects.RecordAlive(p.Process)
	case packetFindings:
		for _, f := range p.Findings {
			q.merge(f, sourcePeer)
		}
	}
}

// weight ranks instances for a trait.
func weight(trait uint64, id core.InstanceID) uint64 {
	hash := uint64(0)
	for i := range len(id) {
		hash = random.Mix(hash ^ uint64(id[i]))
	}
	return random.Mix(trait ^ hash)
}
