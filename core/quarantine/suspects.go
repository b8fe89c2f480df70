package quarantine

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gorseline/core"
	"gorseline/core/common/random"
)

// soundSurvivals is the number of survivals known here from which a trait is not reported as suspect:
// its losses can't make up for them.
const soundSurvivals = 4

// Bounds of the state.
const (
	maxTallies      = 512
	maxSurvivals    = 8192
	maxTallyLosses  = 32
	maxRecentLosses = 64
	maxServices     = 64
	// maxLossParts is the number of suspect parts of one lost request that are considered.
	maxLossParts = 32
)

// ownRun is a run of a request that this instance has sent, once it has ended.
type ownRun struct {
	service core.Service
	// request, process and address are hashes, see Loss.
	request, process, address uint64
	traits                    []core.Trait
	stage                     stage
	at                        core.Instant
}

func newOwnRun(now core.Instant, run *core.TargetRun) ownRun {
	return ownRun{
		service: run.Target.Service, request: xxhash.Sum64String(string(run.Request)), process: hashProcess(&run.Target),
		address: xxhash.Sum64String(run.Target.Address), traits: run.Traits, stage: stageOf(now.Sub(run.Sent)), at: now,
	}
}

// survivals counts the survived requests with a trait at this instance.
type survivals struct {
	count  uint64
	latest core.Instant
}

// Suspects weighs the evidence against traits. It is safe for concurrent use.
type Suspects struct {
	mu      sync.Mutex
	tallies *simplelru.LRU[uint64, *tally]
	// survivals has a cache for each kind of trait: nearly all requests differ and would displace the
	// parts.
	survivals [2]*simplelru.LRU[uint64, survivals]
	// unsettled holds the runs with a complete answer that don't count as survived yet, oldest first.
	unsettled []unsettledRun
	// lostAfterEnd holds the latest of them that turned out to be lost.
	lostAfterEnd []ownRun
	// services holds the rates at which runs of each service are lost, processes the share of each
	// process of a target.
	services  *simplelru.LRU[core.Service, *lossRates]
	processes *simplelru.LRU[uint64, *lossShare]
	// answered holds when the latest request that a process has answered was sent.
	answered *simplelru.LRU[uint64, core.Instant]
	// recent holds the latest losses of this instance, oldest first.
	recent []ownRun
	// lostAt holds when the latest request of a process was reported lost.
	lostAt *simplelru.LRU[uint64, reportedLoss]
}

// NewSuspects returns a Suspects without evidence.
func NewSuspects() *Suspects {
	s := &Suspects{}
	// NewLRU fails only if the size isn't positive.
	s.tallies, _ = simplelru.NewLRU[uint64, *tally](maxTallies, nil)
	for kind := range s.survivals {
		s.survivals[kind], _ = simplelru.NewLRU[uint64, survivals](maxSurvivals, nil)
	}
	s.services, _ = simplelru.NewLRU[core.Service, *lossRates](maxServices, nil)
	s.processes, _ = simplelru.NewLRU[uint64, *lossShare](maxTallies, nil)
	s.answered, _ = simplelru.NewLRU[uint64, core.Instant](maxTallies, nil)
	s.lostAt, _ = simplelru.NewLRU[uint64, reportedLoss](maxTallies, nil)
	return s
}

// RecordSurvived records a complete answer. It counts as survived unless its process is lost within a
// short time.
func (s *Suspects) RecordSurvived(now core.Instant, run *core.TargetRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now)
	own := newOwnRun(now, run)
	rates := valueOf(s.services, own.service)
	rates.addEnded(now, own.stage)
	rates.addEnded(now, afterEnd)
	valueOf(s.processes, own.process).add(now, 0, 1)
	if len(s.unsettled) == maxUnsettled {
		s.settleRun(&s.unsettled[0])
		s.unsettled = slices.Delete(s.unsettled, 0, 1)
	}
	s.unsettled = append(s.unsettled, unsettledRun{ownRun: own, isOpen: run.EndsWithConnection})
}

// RecordStopped records a run that has ended and says nothing about its traits.
func (s *Suspects) RecordStopped(now core.Instant, run *core.TargetRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	valueOf(s.services, run.Target.Service).addEnded(now, stageOf(now.Sub(run.Sent)))
}

// valueOf returns the value of a key, which it adds if it is missing.
func valueOf[K comparable, V any](values *simplelru.LRU[K, *V], key K) *V {
	value, ok := values.Get(key)
	if !ok {
		value = new(V)
		values.Add(key, value)
	}
	return value
}

// Survived returns how many requests with a trait targets have survived at this instance.
func (s *Suspects) Survived(now core.Instant, trait uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now)
	return s.survived(now, trait)
}

// LatestSurvival returns when the latest request with a trait ended that a target has survived here.
func (s *Suspects) LatestSurvival(now core.Instant, trait uint64) (at core.Instant, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now)
	for _, kind := range s.survivals {
		if known, ok := kind.Peek(trait); ok {
			return known.latest, true
		}
	}
	return 0, false
}

func (s *Suspects) survived(now core.Instant, trait uint64) uint64 {
	for _, kind := range s.survivals {
		if known, ok := kind.Peek(trait); ok && now.Sub(known.latest) <= evidenceTime {
			return known.count
		}
	}
	return 0
}

// NewLoss returns the report of a run that this instance has lost. It weighs the loss by how often runs
// that have lasted as long are lost at present.
func (s *Suspects) NewLoss(now core.Instant, run *core.TargetRun) Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now)
	own := newOwnRun(now, run)
	s.markLost(now, own.process)
	own.traits = s.suspectTraits(now, own.traits)
	return s.newLoss(now, &own)
}

// newLoss weighs and counts a loss. Its traits are the suspect ones.
func (s *Suspects) newLoss(now core.Instant, own *ownRun) Loss {
	l := Loss{Request: own.request, Process: own.process, Address: own.address, IsAfterEnd: own.stage == afterEnd}
	for _, t := range own.traits {
		if t.Kind == core.TraitRequest {
			l.Fingerprint = t.ID
		} else {
			l.Parts = append(l.Parts, t.ID)
		}
	}
	service, process := valueOf(s.services, own.service), valueOf(s.processes, own.process)
	processShare := process.value(now)
	partShare := service.probability(now, own.stage, s.countRecent(own, own.sharesPart))
	requestShare := service.probability(now, own.stage, s.countRecent(own, s.explainedBy(own, l.Fingerprint)))
	l.Weight, l.RepeatWeight = weightOf(partShare), weightOf(max(partShare, processShare))
	if l.Fingerprint != 0 {
		l.RequestWeight, l.RequestRepeatWeight = weightOf(requestShare), weightOf(max(requestShare, processShare))
	}
	service.addLost(now, own.stage)
	process.add(now, 1, 0)
	if len(s.recent) == maxRecentLosses {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
	s.recent = append(s.recent, *own)
	return l
}

// suspectTraits returns the traits that are not known to be sound, with a bounded number of parts.
func (s *Suspects) suspectTraits(now core.Instant, traits []core.Trait) []core.Trait {
	var suspects []core.Trait
	parts := 0
	for _, t := range traits {
		if slices.Contains(suspects, t) || s.survived(now, t.ID) >= soundSurvivals {
			continue
		}
		if t.Kind == core.TraitPart {
			if parts++; parts > maxLossParts {
				continue
			}
		}
		suspects = append(suspects, t)
	}
	return suspects
}

// countRecent returns the decayed numbers of recent losses of the same service that a function selects.
// They are left out of the rates that a sound trait is compared with.
func (s *Suspects) countRecent(own *ownRun, isSelected func(*ownRun) bool) *stageCounts {
	var counts stageCounts
	for i := range s.recent {
		if l := &s.recent[i]; l.service == own.service && isSelected(l) {
			counts[l.stage] += decayFactor(own.at.Sub(l.at))
		}
	}
	return &counts
}

// sharesPart reports whether two lost requests have a suspect part in common.
func (l *ownRun) sharesPart(other *ownRun) bool {
	return slices.ContainsFunc(other.traits, func(t core.Trait) bool {
		return t.Kind == core.TraitPart && slices.Contains(l.traits, t)
	})
}

// explainedBy returns a function that selects the losses that a request explains if it crashes
// targets: its own ones, and those of requests that ended with the same processes.
func (s *Suspects) explainedBy(own *ownRun, fingerprint uint64) func(*ownRun) bool {
	t, ok := s.tallies.Peek(fingerprint)
	return func(l *ownRun) bool {
		return l.process == own.process || ok && t.hasProcess(l.process) ||
			slices.Contains(l.traits, core.Trait{Kind: core.TraitRequest, ID: fingerprint})
	}
}

// aliveTime is the time after a loss within which an answer shows that its process has not ended.
// Later the same target may have started again.
const aliveTime = 300 * time.Millisecond

// RecordAnswer records that a target has begun to answer a request that was sent at a time. It returns
// true if its process was reported lost before that, so that only a connection ended.
func (s *Suspects) RecordAnswer(target *core.Registration, sent core.Instant) (process uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process = hashProcess(target)
	if latest, known := s.answered.Get(process); !known || sent > latest {
		s.answered.Add(process, sent)
	}
	lost, ok := s.lostAt.Peek(process)
	return process, ok && sent > lost.at && sent.Sub(lost.at) <= aliveTime
}

// RecordAlive drops the evidence of the losses of a process that has not ended.
func (s *Suspects) RecordAlive(process uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAt.Remove(process)
	for i := range s.unsettled {
		if u := &s.unsettled[i]; u.process == process {
			u.isLost = false
		}
	}
	for _, t := range s.tallies.Values() {
		t.dropProcess(process)
	}
}

func hashProcess(target *core.Registration) uint64 {
	return random.Mix(xxhash.Sum64String(string(target.ID)) ^ uint64(target.Started))
}

// weightOf returns the likelihood ratio of a loss in thousandths of a nat. share is the probability
// that a request with a sound trait is lost.
func weightOf(share float64) uint32 {
	return uint32(1000 * math.Log((1-survivalShare)/min(share, 1-survivalShare)))
}

// Add adds a loss to the tallies of its traits. It returns the trait with the highest score if that
// reaches the threshold and instances should be asked for survivals.
func (s *Suspects) Add(now core.Instant, l Loss) (trait uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now)
	s.recordReport(now, &l)
	traits := l.traits()
	for _, suspect := range traits {
		t, known := s.tallies.Get(suspect.ID)
		if !known {
			t = &tally{kind: suspect.Kind}
			s.tallies.Add(suspect.ID, t)
		}
		t.add(now, l)
	}
	return s.candidate(now, traits)
}

// reportedLoss is the latest report of a lost request of a process.
type reportedLoss struct {
	request uint64
	at      core.Instant
}

// recordReport records when a process was lost. Reports that come again, or later than the loss, don't
// count: the target may have started again meanwhile.
func (s *Suspects) recordReport(now core.Instant, l *Loss) {
	if latest, ok := s.lostAt.Peek(l.Process); l.IsAfterEnd || ok && latest.request == l.Request {
		return
	}
	s.lostAt.Add(l.Process, reportedLoss{l.Request, now})
	s.markLost(now, l.Process)
}

// candidate returns the trait with the highest score, of equal ones the last, which fewer requests
// share.
func (s *Suspects) candidate(now core.Instant, traits []core.Trait) (trait uint64, ok bool) {
	best := 0.0
	for _, t := range traits {
		if score := s.score(now, t.ID); score >= max(best, threshold(t.Kind)) {
			trait, ok, best = t.ID, true, score
		}
	}
	return trait, ok
}

// score returns the score of a trait in nats.
func (s *Suspects) score(now core.Instant, trait uint64) float64 {
	t, ok := s.tallies.Peek(trait)
	if !ok {
		return 0
	}
	return t.score(now) - survivalWeight*float64(max(s.survived(now, trait), t.survived))
}

// askInterval is the time between two questions about the same trait.
const askInterval = time.Second

// StartQuestion reports whether instances should be asked now for their survivals of a trait.
func (s *Suspects) StartQuestion(now core.Instant, trait uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tallies.Peek(trait)
	if !ok || s.score(now, trait) < threshold(t.kind) || t.isAsked && now.Sub(t.askedAt) < askInterval {
		return false
	}
	t.askedAt, t.isAsked = now, true
	return true
}

// Verdict is the result of a question.
type Verdict struct {
	Kind core.TraitKind
	// IsFound is set if the trait crashes targets.
	IsFound bool
	// Score and Threshold are in nats. Losses is the number of counted losses, Survived that of
	// survivals.
	Score, Threshold float64
	Losses           int
	Survived         uint64
}

// Decide decides on a trait with the survivals that other instances have answered.
func (s *Suspects) Decide(now core.Instant, trait, survivedElsewhere uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tallies.Peek(trait)
	if !ok {
		return Verdict{}
	}
	s.settle(now)
	t.survived = s.survived(now, trait) + survivedElsewhere
	v := Verdict{
		Kind: t.kind, Score: s.score(now, trait), Threshold: threshold(t.kind), Losses: len(t.losses), Survived: t.survived,
	}
	v.IsFound = v.Score >= v.Threshold
	return v
}

// Acquit records the survivals of a trait that another instance has counted.
func (s *Suspects) Acquit(trait, survived uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.tallies.Peek(trait); ok {
		t.survived = max(t.survived, survived)
	}
}

const (
	// suspectLosses is the number of lost targets, and suspectShare the fraction of the threshold, from
	// which a trait without survivals is suspect.
	suspectLosses = 2
	suspectShare  = 1.0 / 3
)

// IsSuspect reports whether one of the traits is suspect.
func (s *Suspects) IsSuspect(now core.Instant, traits []core.Trait) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now)
	return slices.ContainsFunc(traits, func(trait core.Trait) bool {
		t, ok := s.tallies.Peek(trait.ID)
		return ok && len(t.losses) >= suspectLosses && t.score(now) >= suspectShare*threshold(t.kind) &&
			t.survived == 0 && s.survived(now, trait.ID) == 0
	})
}

// Forget drops the evidence against a trait that was found or released. The losses of requests with a
// part are dropped from other tallies too: the part explains them. A request doesn't clear its parts.
func (s *Suspects) Forget(trait uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tallies.Peek(trait)
	if !ok {
		return
	}
	s.tallies.Remove(trait)
	if t.kind == core.TraitRequest {
		return
	}
	for _, other := range s.tallies.Values() {
		other.losses = slices.DeleteFunc(other.losses, func(l tallyLoss) bool {
			return slices.ContainsFunc(t.losses, func(c tallyLoss) bool { return c.Request == l.Request })
		})
	}
}

// Suspicion describes the evidence against one trait.
type Suspicion struct {
	Trait  uint64
	Kind   core.TraitKind
	Score  float64
	Losses int
}

// Top returns the traits with the highest scores, up to count.
func (s *Suspects) Top(now core.Instant, count int) []Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Suspicion, 0, s.tallies.Len())
	for _, trait := range s.tallies.Keys() {
		t, _ := s.tallies.Peek(trait)
		list = append(list, Suspicion{trait, t.kind, s.score(now, trait), len(t.losses)})
	}
	slices.SortFunc(list, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Trait, b.Trait))
	})
	return list[:min(len(list), count)]
}
