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

const (
	// falseFindings is the accepted probability that a sound part is ever found.
	falseFindings = 1e-6
	// survivalShare is the assumed probability that an engine survives a part that crashes engines.
	survivalShare = 1e-3
	// burstTime is the time within which several losses count as one: their engines may have crashed
	// together for another reason.
	burstTime = 250 * time.Millisecond
	// evidenceTime is how long losses and survivals count.
	evidenceTime = 10 * time.Minute
	// soundSurvivals is the number of survivals known here from which a part is not reported as
	// suspect: its losses can't make up for them.
	soundSurvivals = 4
)

// Bounds of the state.
const (
	maxTallies      = 512
	maxSurvivals    = 8192
	maxTallyLosses  = 32
	maxRecentLosses = 64
	// maxLossParts is the number of suspect parts of one lost request that are considered.
	maxLossParts = 32
)

// Threshold is the score, in nats, from which a part is found.
var Threshold = math.Log(1 / falseFindings)

// survivalWeight is what one survival subtracts from the score, in nats.
var survivalWeight = math.Log(1 / survivalShare)

// Loss is a lost request as instances report it to each other.
type Loss struct {
	// Request is a hash of the request's ID.
	Request uint64 `cbor:"1,keyasint"`
	// Process and Address are hashes of the engine's process and of its address, at which another
	// process may start later.
	Process uint64 `cbor:"2,keyasint"`
	Address uint64 `cbor:"3,keyasint"`
	// Parts holds the IDs of the suspect parts.
	Parts []uint64 `cbor:"4,keyasint"`
	// Weight is the score that the loss adds, in thousandths of a nat. RepeatWeight applies if the
	// part has had a loss at the same address before.
	Weight       uint32 `cbor:"5,keyasint"`
	RepeatWeight uint32 `cbor:"6,keyasint"`
}

// tally is the evidence against one part.
type tally struct {
	losses []tallyLoss
	// survived is the number of survivals at all instances when they were last asked.
	survived uint64
	askedAt  core.Instant
	isAsked  bool
}

type tallyLoss struct {
	Loss
	at core.Instant
	// weight is in nats.
	weight float64
}

// ownLoss is a loss of this instance.
type ownLoss struct {
	parts []uint64
	at    core.Instant
}

// survivals counts the survived requests with a part at this instance.
type survivals struct {
	count  uint64
	latest core.Instant
}

// Suspects weighs the evidence against parts. It is safe for concurrent use.
type Suspects struct {
	mu        sync.Mutex
	tallies   *simplelru.LRU[uint64, *tally]
	survivals *simplelru.LRU[uint64, survivals]
	all       lossShare
	// recent holds the latest losses of this instance, oldest first.
	recent []ownLoss
	// processes holds the share of lost requests of each engine process.
	processes *simplelru.LRU[uint64, *lossShare]
}

// NewSuspects returns a Suspects without evidence.
func NewSuspects() *Suspects {
	s := &Suspects{}
	// NewLRU fails only if the size isn't positive.
	s.tallies, _ = simplelru.NewLRU[uint64, *tally](maxTallies, nil)
	s.survivals, _ = simplelru.NewLRU[uint64, survivals](maxSurvivals, nil)
	s.processes, _ = simplelru.NewLRU[uint64, *lossShare](maxTallies, nil)
	return s
}

// RecordSurvived records that an engine survived a request with the parts.
func (s *Suspects) RecordSurvived(now core.Instant, parts []core.PromptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.add(now, 0, 1)
	for _, part := range parts {
		known, _ := s.survivals.Get(part.ID)
		if known.count > 0 && now.Sub(known.latest) > evidenceTime {
			known.count = 0
		}
		s.survivals.Add(part.ID, survivals{known.count + 1, now})
	}
}

// Survived returns how many requests with a part engines have survived at this instance.
func (s *Suspects) Survived(now core.Instant, part uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.survived(now, part)
}

func (s *Suspects) survived(now core.Instant, part uint64) uint64 {
	known, ok := s.survivals.Peek(part)
	if !ok || now.Sub(known.latest) > evidenceTime {
		return 0
	}
	return known.count
}

// NewLoss returns the report of a request that this instance has lost. It weighs the loss by how
// often requests are lost at present.
func (s *Suspects) NewLoss(now core.Instant, lost *core.LostRequest) Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := hashProcess(&lost.Target)
	own, ok := s.processes.Get(process)
	if !ok {
		own = &lossShare{}
		s.processes.Add(process, own)
	}
	parts := s.suspectParts(now, lost.Prompt)
	share := s.all.value(now, priorRequests, s.related(now, parts))
	repeatShare := max(share, own.value(now, priorProcessRequests, 0))
	s.all.add(now, 1, 0)
	own.add(now, 1, 0)
	if len(s.recent) == maxRecentLosses {
		s.recent = slices.Delete(s.recent, 0, 1)
	}
	s.recent = append(s.recent, ownLoss{parts, now})
	return Loss{
		Request: xxhash.Sum64String(string(lost.Request)), Process: process,
		Address: xxhash.Sum64String(lost.Target.Address), Parts: parts,
		Weight: weightOf(share), RepeatWeight: weightOf(repeatShare),
	}
}

// suspectParts returns the IDs of the shared parts of a prompt that are not known to be sound.
func (s *Suspects) suspectParts(now core.Instant, p *core.Prompt) []uint64 {
	var parts []uint64
	for _, part := range p.SharedParts() {
		isListed := slices.Contains(parts, part.ID)
		if !isListed && len(parts) < maxLossParts && s.survived(now, part.ID) < soundSurvivals {
			parts = append(parts, part.ID)
		}
	}
	return parts
}

// related returns the decayed number of recent losses that have one of the parts. They are left out
// of the share that a sound part is compared with.
func (s *Suspects) related(now core.Instant, parts []uint64) float64 {
	sum := 0.0
	for _, l := range s.recent {
		if slices.ContainsFunc(l.parts, func(part uint64) bool { return slices.Contains(parts, part) }) {
			sum += decayFactor(now.Sub(l.at))
		}
	}
	return sum
}

// RecordProcessSurvived records that the process of a target survived a request.
func (s *Suspects) RecordProcessSurvived(now core.Instant, target *core.Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := hashProcess(target)
	own, ok := s.processes.Get(process)
	if !ok {
		own = &lossShare{}
		s.processes.Add(process, own)
	}
	own.add(now, 0, 1)
}

func hashProcess(target *core.Registration) uint64 {
	return random.Mix(xxhash.Sum64String(string(target.ID)) ^ uint64(target.Started))
}

// weightOf returns the likelihood ratio of a loss in thousandths of a nat. share is the probability
// that a request with a sound part is lost.
func weightOf(share float64) uint32 {
	return uint32(1000 * math.Log((1-survivalShare)/min(share, 1-survivalShare)))
}

// Add adds a loss to the tallies of its parts. It returns the part with the highest score if that
// reaches the threshold and instances should be asked for survivals.
func (s *Suspects) Add(now core.Instant, l Loss) (part uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range l.Parts[:min(len(l.Parts), maxLossParts)] {
		t, known := s.tallies.Get(id)
		if !known {
			t = &tally{}
			s.tallies.Add(id, t)
		}
		t.add(now, l)
	}
	return s.candidate(now, l.Parts)
}

// add counts a loss unless its request, its process or a burst is counted already.
func (t *tally) add(now core.Instant, l Loss) {
	t.losses = slices.DeleteFunc(t.losses, func(c tallyLoss) bool { return now.Sub(c.at) > evidenceTime })
	weight := l.Weight
	for _, c := range t.losses {
		if c.Request == l.Request || c.Process == l.Process || now.Sub(c.at) < burstTime {
			return
		}
		if c.Address == l.Address {
			weight = min(l.Weight, l.RepeatWeight)
		}
	}
	if len(t.losses) < maxTallyLosses {
		t.losses = append(t.losses, tallyLoss{l, now, float64(weight) / 1000})
	}
}

// candidate returns the part with the highest score, of equal ones the last, which fewer prompts
// share.
func (s *Suspects) candidate(now core.Instant, parts []uint64) (part uint64, ok bool) {
	best := Threshold
	for _, id := range parts[:min(len(parts), maxLossParts)] {
		if score := s.score(now, id); score >= best {
			part, ok, best = id, true, score
		}
	}
	return part, ok
}

// score returns the score of a part in nats.
func (s *Suspects) score(now core.Instant, part uint64) float64 {
	t, ok := s.tallies.Peek(part)
	if !ok {
		return 0
	}
	sum := 0.0
	for _, l := range t.losses {
		if now.Sub(l.at) <= evidenceTime {
			sum += l.weight
		}
	}
	survived := max(s.survived(now, part), t.survived)
	return sum - survivalWeight*float64(survived)
}

// askInterval is the time between two questions about the same part.
const askInterval = time.Second

// StartQuestion reports whether instances should be asked now for their survivals of a part.
func (s *Suspects) StartQuestion(now core.Instant, part uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tallies.Peek(part)
	if !ok || s.score(now, part) < Threshold || t.isAsked && now.Sub(t.askedAt) < askInterval {
		return false
	}
	t.askedAt, t.isAsked = now, true
	return true
}

// Verdict is the result of a question.
type Verdict struct {
	// IsFound is set if the part crashes engines.
	IsFound bool
	// Score is in nats. Losses is the number of counted losses, Survived that of survivals.
	Score    float64
	Losses   int
	Survived uint64
}

// Decide decides on a part with the survivals that other instances have answered.
func (s *Suspects) Decide(now core.Instant, part, survivedElsewhere uint64) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tallies.Peek(part)
	if !ok {
		return Verdict{}
	}
	t.survived = s.survived(now, part) + survivedElsewhere
	score := s.score(now, part)
	return Verdict{IsFound: score >= Threshold, Score: score, Losses: len(t.losses), Survived: t.survived}
}

// Acquit records the survivals of a part that another instance has counted.
func (s *Suspects) Acquit(part, survived uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.tallies.Peek(part); ok {
		t.survived = max(t.survived, survived)
	}
}

// suspectLosses is the number of lost engines from which a part without survivals is suspect.
const suspectLosses = 2

// IsSuspect reports whether one of the parts is suspect.
func (s *Suspects) IsSuspect(now core.Instant, parts []core.PromptPart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(parts, func(part core.PromptPart) bool {
		t, ok := s.tallies.Peek(part.ID)
		return ok && len(t.losses) >= suspectLosses && t.survived == 0 && s.survived(now, part.ID) == 0
	})
}

// Forget drops the evidence against a part that was found or released, and the losses of its
// requests from the tallies of other parts: the part explains them.
func (s *Suspects) Forget(part uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tallies.Peek(part)
	if !ok {
		return
	}
	s.tallies.Remove(part)
	for _, other := range s.tallies.Values() {
		other.losses = slices.DeleteFunc(other.losses, func(l tallyLoss) bool {
			return slices.ContainsFunc(t.losses, func(c tallyLoss) bool { return c.Request == l.Request })
		})
	}
}

// Suspicion describes the evidence against one part.
type Suspicion struct {
	Part   uint64
	Score  float64
	Losses int
}

// Top returns the parts with the highest scores, up to count.
func (s *Suspects) Top(now core.Instant, count int) []Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Suspicion, 0, s.tallies.Len())
	for _, part := range s.tallies.Keys() {
		t, _ := s.tallies.Peek(part)
		list = append(list, Suspicion{part, s.score(now, part), len(t.losses)})
	}
	slices.SortFunc(list, func(a, b Suspicion) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Part, b.Part))
	})
	return list[:min(len(list), count)]
}
