package quarantine

import (
	"math"
	"slices"
	"time"

	"gorseline/core"
)

const (
	// falseParts is the accepted probability that a sound part is ever found. It keeps all prompts with
	// the part from their engines.
	falseParts = 1e-6
	// falseRequests is the same for a whole request, which keeps only its repeats from their targets.
	falseRequests = 1e-4
	// maxRequestShare is the largest fraction of the threshold that one loss of a whole request adds, so
	// that two don't suffice: crashes of several targets are often related.
	maxRequestShare = 0.45
	// survivalShare is the assumed probability that a target survives a trait that crashes targets.
	survivalShare = 1e-3
	// burstTime is the time within which several losses of a part count as one: their engines may have
	// crashed together for another reason. The same request is rarely at several targets at a time.
	burstTime = 250 * time.Millisecond
	// evidenceTime is how long losses and survivals count.
	evidenceTime = 10 * time.Minute
)

// threshold returns the score, in nats, from which a trait is found.
func threshold(kind core.TraitKind) float64 {
	if kind == core.TraitRequest {
		return math.Log(1 / falseRequests)
	}
	return math.Log(1 / falseParts)
}

// survivalWeight is what one survival subtracts from the score, in nats.
var survivalWeight = math.Log(1 / survivalShare)

// Loss is a lost request as instances report it to each other. Weights are the scores that it adds, in
// thousandths of a nat; the repeat weight applies to losses at the address of an earlier one, see
// tally.weight.
type Loss struct {
	// Request is a hash of the request's ID.
	Request uint64 `cbor:"1,keyasint"`
	// Process and Address are hashes of the target's process and of its address, at which another
	// process may start later.
	Process uint64 `cbor:"2,keyasint"`
	Address uint64 `cbor:"3,keyasint"`
	// Parts holds the IDs of the suspect parts.
	Parts        []uint64 `cbor:"4,keyasint,omitempty"`
	Weight       uint32   `cbor:"5,keyasint"`
	RepeatWeight uint32   `cbor:"6,keyasint"`
	// Fingerprint is the ID of the whole request, or 0 if that is no suspect.
	Fingerprint         uint64 `cbor:"7,keyasint,omitempty"`
	RequestWeight       uint32 `cbor:"8,keyasint,omitempty"`
	RequestRepeatWeight uint32 `cbor:"9,keyasint,omitempty"`
	// IsAfterEnd is set if the answer was complete before the process was lost, as another loss has
	// reported. It comes later than that.
	IsAfterEnd bool `cbor:"10,keyasint,omitempty"`
}

// traits returns the suspect traits, the whole request last.
func (l *Loss) traits() []core.Trait {
	list := make([]core.Trait, 0, len(l.Parts)+1)
	for _, part := range l.Parts[:min(len(l.Parts), maxLossParts)] {
		list = append(list, core.Trait{Kind: core.TraitPart, ID: part})
	}
	if l.Fingerprint != 0 {
		list = append(list, core.Trait{Kind: core.TraitRequest, ID: l.Fingerprint})
	}
	return list
}

// HasSuspects reports whether the loss counts against any trait.
func (l *Loss) HasSuspects() bool { return len(l.Parts) > 0 || l.Fingerprint != 0 }

// tally is the evidence against one trait.
type tally struct {
	kind   core.TraitKind
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

// add counts a loss unless one that it depends on is counted already.
func (t *tally) add(now core.Instant, l Loss) {
	t.losses = slices.DeleteFunc(t.losses, func(c tallyLoss) bool { return now.Sub(c.at) > evidenceTime })
	if slices.ContainsFunc(t.losses, func(c tallyLoss) bool { return t.depends(now, &l, &c) }) {
		return
	}
	if len(t.losses) < maxTallyLosses {
		t.losses = append(t.losses, tallyLoss{l, now, float64(t.weight(&l)) / 1000})
	}
}

// weight returns the weight of a loss in thousandths of a nat. A part that many requests share meets a
// target that crashes by itself again and again. A request that is lost at several addresses doesn't.
func (t *tally) weight(l *Loss) uint32 {
	isSameAddress := func(c tallyLoss) bool { return c.Address == l.Address }
	isRepeat := slices.ContainsFunc(t.losses, isSameAddress)
	if t.kind == core.TraitPart {
		if isRepeat {
			return min(l.Weight, l.RepeatWeight)
		}
		return l.Weight
	}
	weight := min(l.RequestWeight, uint32(1000*maxRequestShare*threshold(core.TraitRequest)))
	if isRepeat && !slices.ContainsFunc(t.losses, func(c tallyLoss) bool { return !isSameAddress(c) }) {
		return min(weight, l.RequestRepeatWeight)
	}
	return weight
}

// depends reports whether a loss says no more than a counted one. Each process counts once. Against a
// part, so do the tries of one request, which itself may crash the engines, and a burst.
func (t *tally) depends(now core.Instant, l *Loss, counted *tallyLoss) bool {
	if counted.Process == l.Process || t.kind == core.TraitRequest {
		return counted.Process == l.Process
	}
	isSameRequest := counted.Request == l.Request || l.Fingerprint != 0 && counted.Fingerprint == l.Fingerprint
	return isSameRequest || now.Sub(counted.at) < burstTime
}

// hasProcess reports whether a loss of a process is counted.
func (t *tally) hasProcess(process uint64) bool {
	return slices.ContainsFunc(t.losses, func(c tallyLoss) bool { return c.Process == process })
}

// dropProcess removes the loss of a process.
func (t *tally) dropProcess(process uint64) {
	t.losses = slices.DeleteFunc(t.losses, func(c tallyLoss) bool { return c.Process == process })
}

// score returns the evidence of the losses in nats. A trait crashes targets during the answer or after it:
// the losses of both kinds don't add up, and a complete answer is a survival of the first kind.
func (t *tally) score(now core.Instant) float64 {
	during, after := 0.0, 0.0
	for _, l := range t.losses {
		switch {
		case now.Sub(l.at) > evidenceTime:
		case l.IsAfterEnd:
			after += l.weight
			during -= survivalWeight
		default:
			during += l.weight
		}
	}
	return max(during, after)
}
