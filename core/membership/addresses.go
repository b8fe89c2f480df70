package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"gorseline/core"
)

const (
	// addressCount bounds an answer. With half of the instances gone, all eight
	// addresses fail in 1 answer of 256.
	addressCount = 8
	// localShare is the part of an answer in the caller's own data centre; the
	// rest survives the loss of that data centre.
	localShare = 5
	// AddressTTL is how long callers keep an answer. A leaving instance accepts
	// requests for as long.
	AddressTTL = 10 * time.Second
	// keepForInFlux applies while members are suspected or a data centre is lost.
	keepForInFlux = 3 * time.Second
)

// Addresses is the answer to a caller that asks where to connect.
type Addresses struct {
	// Addresses come in the order to try them.
	Addresses []string
	TTL       time.Duration
}

// Addresses returns addresses for a caller in a data centre, which may be
// unknown. Leaving, suspected and unreachable members are left out.
func (p *Protocol) Addresses(rng *rand.Rand, caller core.DataCentre) Addresses {
	answer := Addresses{TTL: AddressTTL}
	var near, far []Record
	for h := range p.view.all {
		switch {
		case h.Status == StatusSuspect || p.view.isLost(h.DataCentre):
			answer.TTL = keepForInFlux
		case h.Status != StatusAlive:
		case p.self.Callers != "" && h.Callers == "": // not heard from yet
		case h.DataCentre == caller:
			near = append(near, h.Record)
		default:
			far = append(far, h.Record)
		}
	}
	shuffle(rng, near)
	shuffle(rng, far)
	// Each part fills what the other lacks.
	nearCount := min(len(near), max(localShare, addressCount-len(far)))
	for _, r := range near[:nearCount] {
		answer.Addresses = append(answer.Addresses, r.CallerAddress())
	}
	for _, r := range far[:min(len(far), addressCount-nearCount)] {
		answer.Addresses = append(answer.Addresses, r.CallerAddress())
	}
	return answer
}

func shuffle(rng *rand.Rand, list []Record) {
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Members returns all members that are not dropped, in the order of their IDs.
func (p *Protocol) Members() []Record {
	return p.view.selected(func(r Record) bool { return r.Status != StatusDead })
}

// Peers returns the live members of the own data centre without this instance.
func (p *Protocol) Peers() []Record {
	return p.view.selected(func(r Record) bool { return p.isPeer(r) && r.Status != StatusLeaving })
}

// LocalCount returns the number of members of the own data centre.
func (p *Protocol) LocalCount() int { return p.view.local() }

// IsReachable reports whether a record's data centre answers digests.
func (p *Protocol) IsReachable(r Record) bool { return !p.view.isLost(r.DataCentre) }

// Version changes whenever the view changes.
func (p *Protocol) Version() uint64 { return p.view.version }

// callerAddressCount is the number of addresses in an answer for callers that keep it for
// a second or so: one works unless three instances fail within that time.
const callerAddressCount = 3

// CallerAddresses returns addresses of live members of the caller's data centre, or of all
// live members if there are none or the data centre is unknown. Callers that keep to their
// own data centre send fewer bytes between data centres. Members are drawn in proportion
// to their capacity, since callers spread evenly over an answer. Members that are suspected,
// or for which isFresh returns false, are left out as long as others remain.
func (p *Protocol) CallerAddresses(rng *rand.Rand, caller core.DataCentre, isFresh func(Record) bool) []string {
	var near, far, suspects []Record
	for h := range p.view.all {
		switch {
		case h.Callers == "" || h.Status == StatusLeaving || h.Status == StatusDead:
		case h.Status == StatusSuspect || !isFresh(h.Record):
			suspects = append(suspects, h.Record)
		case h.DataCentre == caller:
			near = append(near, h.Record)
		default:
			far = append(far, h.Record)
		}
	}
	chosen := near
	if len(chosen) == 0 {
		chosen = far
	}
	if len(chosen) == 0 {
		chosen = suspects
	}
	addresses := make([]string, 0, callerAddressCount)
	for len(chosen) > 0 && len(addresses) < callerAddressCount {
		i := drawByCapacity(rng, chosen)
		addresses = append(addresses, chosen[i].Callers)
		chosen = slices.Delete(chosen, i, i+1)
	}
	return addresses
}

// drawByCapacity returns the index of a random record.
func drawByCapacity(rng *rand.Rand, list []Record) int {
	total := uint64(0)
	for _, r := range list {
		total += capacity(r)
	}
	point := rng.Uint64N(total)
	for i, r := range list {
		c := capacity(r)
		if point < c {
			return i
		}
		point -= c
	}
	return len(list) - 1
}

// wholeCapacity is the capacity of a machine with a whole core.
const wholeCapacity = 100

func capacity(r Record) uint64 {
	if r.Capacity == 0 {
		return wholeCapacity
	}
	return uint64(r.Capacity)
}
