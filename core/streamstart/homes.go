package streamstart

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/common/random"
)

const (
	// maxPeersForAll is the number of peers up to which all of them are homes of each record.
	maxPeersForAll = 8
	// homeCount is the number of homes otherwise, localHomes of which are in the data centre of
	// the sender. Traffic between data centres is expensive, and one copy survives the loss of
	// a data centre.
	homeCount  = 3
	localHomes = 2
	// spareRanks is the number of instances beyond the homes that are asked in each data
	// centre, because the lost instance, and instances that joined since, take ranks.
	spareRanks = 2
)

// Peer is another instance.
type Peer struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Address    string
}

type rankedPeer struct {
	Peer
	hash uint64
}

// Homes selects the instances that keep the records of a request by rendezvous hashing, so that
// instances agree on them without messages. It is immutable.
type Homes struct {
	peers []rankedPeer
	// local holds the peers in the data centre of this instance, others the rest.
	local, others []rankedPeer
	dataCentres   [][]rankedPeer
}

// NewHomes returns the homes among the peers of an instance in a data centre.
func NewHomes(dc core.DataCentre, peers []Peer) *Homes {
	h := &Homes{}
	index := map[core.DataCentre]int{}
	for _, p := range peers {
		ranked := rankedPeer{p, xxhash.Sum64String(string(p.ID))}
		h.peers = append(h.peers, ranked)
		if p.DataCentre == dc {
			h.local = append(h.local, ranked)
		} else {
			h.others = append(h.others, ranked)
		}
		i, ok := index[p.DataCentre]
		if !ok {
			i = len(h.dataCentres)
			index[p.DataCentre] = i
			h.dataCentres = append(h.dataCentres, nil)
		}
		h.dataCentres[i] = append(h.dataCentres[i], ranked)
	}
	return h
}

// Count returns the number of peers.
func (h *Homes) Count() int { return len(h.peers) }

// Of returns the homes of a request that this instance relays.
func (h *Homes) Of(request uint64) []Peer {
	if len(h.peers) <= maxPeersForAll {
		return appendFirst(nil, request, h.peers, len(h.peers))
	}
	distant := max(min(len(h.others), homeCount-localHomes), homeCount-len(h.local))
	homes := appendFirst(make([]Peer, 0, homeCount), request, h.others, distant)
	return appendFirst(homes, request, h.local, homeCount-len(homes))
}

// Candidates returns the instances that may be homes of a request that another instance relayed,
// wherever that is.
func (h *Homes) Candidates(request uint64) []Peer {
	if h.isSmall() {
		return appendFirst(nil, request, h.peers, len(h.peers))
	}
	ranks := homeCount + spareRanks
	if len(h.dataCentres) > 2 {
		ranks = localHomes + spareRanks
	}
	var list []Peer
	for _, peers := range h.dataCentres {
		list = appendFirst(list, request, peers, ranks)
	}
	return list
}

// isSmall reports whether all peers are candidates. One more than maxPeersForAll may be, because
// the relay doesn't count itself, and its view may differ.
func (h *Homes) isSmall() bool { return len(h.peers) <= maxPeersForAll+1 }

// Suffice reports whether a home must be among the candidates that have answered. In small
// fleets all of them have to, because a partition may keep records from the others. Without candidates none
// has answered.
func (h *Homes) Suffice(candidates []Peer, hasAnswered func(Peer) bool) bool {
	silent := map[core.DataCentre]int{}
	count := 0
	for _, c := range candidates {
		if !hasAnswered(c) {
			silent[c.DataCentre]++
			count++
		}
	}
	if count == 0 || h.isSmall() {
		return count == 0 && len(candidates) > 0
	}
	// A home is always outside the data centre of the others.
	return count < homeCount || len(silent) == 1 && len(h.dataCentres) > 2
}

// appendFirst appends the first peers by the rank for a request.
func appendFirst(list []Peer, request uint64, peers []rankedPeer, count int) []Peer {
	if len(peers) <= count {
		for i := range peers {
			list = append(list, peers[i].Peer)
		}
		return list
	}
	if count <= 0 {
		return list
	}
	type weighted struct {
		weight uint64
		index  int
	}
	var buffer [homeCount + spareRanks]weighted
	best := buffer[:0]
	for i := range peers {
		weight := random.Mix(request ^ peers[i].hash)
		if len(best) == count {
			if weight <= best[count-1].weight {
				continue
			}
			best = best[:count-1]
		}
		at := len(best)
		for at > 0 && best[at-1].weight < weight {
			at--
		}
		best = slices.Insert(best, at, weighted{weight, i})
	}
	for _, b := range best {
		list = append(list, peers[b.index].Peer)
	}
	return list
}
