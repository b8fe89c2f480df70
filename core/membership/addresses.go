package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"gorseline/core"
)

const (
	// addressCount is the maximum number of addresses in an answer. With half of the
	// instances down, all eight fail in 1 of 256 answers.
	addressCount = 8
	// localAddressCount is the number of addresses from the data centre of the caller. The
	// others remain usable when that data centre is lost.
	localAddressCount = 5
	// AddressTTL is how long callers cache an answer. A leaving instance accepts requests
	// for the same time.
	AddressTTL = 10 * time.Second
	// unstableAddressTTL replaces AddressTTL while members are suspected or a data centre
	// is lost.
	unstableAddressTTL = 3 * time.Second
)

// Addresses lists instances that a caller can connect to.
type Addresses struct {
	// Addresses are in the order in which callers try them.
	Addresses []string
	// TTL is how long the caller may cache the answer.
	TTL time.Duration
}

// Addresses returns addresses for a caller in the given data centre, which may be unknown.
// Leaving, suspected and unreachable members are left out.
func (p *Protocol) Addresses(rng *rand.Rand, caller core.DataCentre) Addresses {
	answer := Addresses{TTL: AddressTTL}
	var local, remote []Record
	for r := range p.view.all {
		switch {
		case r.Status == StatusSuspect || p.view.isLost(r.DataCentre):
			answer.TTL = unstableAddressTTL
		case r.Status != StatusAlive:
		case p.self.Callers != "" && r.Callers == "": // known only from the platform's list
		case r.DataCentre == caller:
			local = append(local, r.Record)
		default:
			remote = append(remote, r.Record)
		}
	}
	shuffle(rng, local)
	shuffle(rng, remote)
	// Each list makes up for a shortage of the other.
	localCount := min(len(local), max(localAddressCount, addressCount-len(remote)))
	for _, r := range local[:localCount] {
		answer.Addresses = append(answer.Addresses, r.CallerAddress())
	}
	for _, r := range remote[:min(len(remote), addressCount-localCount)] {
		answer.Addresses = append(answer.Addresses, r.CallerAddress())
	}
	return answer
}

func shuffle(rng *rand.Rand, list []Record) {
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// Members returns all members that are not dead, sorted by ID.
func (p *Protocol) Members() []Record {
	return p.view.filter(func(r Record) bool { return r.Status != StatusDead })
}

// Peers returns the members of the local data centre that are alive or suspected, except this
// instance.
func (p *Protocol) Peers() []Record {
	return p.view.filter(func(r Record) bool { return p.isPeer(r) && r.Status != StatusLeaving })
}

// LocalCount returns the number of members of the local data centre.
func (p *Protocol) LocalCount() int { return p.view.localCount() }

// IsReachable reports whether the data centre of a record replies to digests.
func (p *Protocol) IsReachable(r Record) bool { return !p.view.isLost(r.DataCentre) }

// Version returns a number that changes with every change of the view.
func (p *Protocol) Version() uint64 { return p.view.version }

// callerAddressCount is the number of addresses in an answer for callers that cache it for
// about a second: one of them works unless three instances fail within that time.
const callerAddressCount = 3

// CallerAddresses returns addresses of live members of the data centre of the caller, or of
// all live members if there are none or the data centre is unknown. The preference for one
// data centre reduces traffic between data centres. Members are sampled in proportion to
// their capacity, because callers spread their requests evenly over an answer. Members that
// are suspected or for which isFresh returns false are used only if there are no others.
func (p *Protocol) CallerAddresses(rng *rand.Rand, caller core.DataCentre, isFresh func(Record) bool) []string {
	var local, remote, fallback []Record
	for r := range p.view.all {
		switch {
		case r.Callers == "" || r.Status == StatusLeaving || r.Status == StatusDead:
		case r.Status == StatusSuspect || !isFresh(r.Record):
			fallback = append(fallback, r.Record)
		case r.DataCentre == caller:
			local = append(local, r.Record)
		default:
			remote = append(remote, r.Record)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		candidates = fallback
	}
	addresses := make([]string, 0, callerAddressCount)
	for len(candidates) > 0 && len(addresses) < callerAddressCount {
		i := pickByCapacity(rng, candidates)
		addresses = append(addresses, candidates[i].Callers)
		candidates = slices.Delete(candidates, i, i+1)
	}
	return addresses
}

// pickByCapacity returns the index of a random record, weighted by capacity.
func pickByCapacity(rng *rand.Rand, list []Record) int {
	total := uint64(0)
	for _, r := range list {
		total += r.CallerWeight()
	}
	point := rng.Uint64N(total)
	for i, r := range list {
		c := r.CallerWeight()
		if point < c {
			return i
		}
		point -= c
	}
	return len(list) - 1
}

// defaultCapacity is the capacity of a member that does not report one: that of a machine
// with a whole core.
const defaultCapacity = 100

// CallerWeight returns the weight of the member in the distribution of callers.
func (r Record) CallerWeight() uint64 {
	if r.Capacity == 0 {
		return defaultCapacity
	}
	return uint64(r.Capacity)
}
