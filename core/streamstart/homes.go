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

// Of returns the addresses of the homes of a request that this instance relays.
func (h *Homes) Of(request uint64) []string {
	if len(h.peers) <= maxPeersForAll {
		return appendFirst(nil, request, h.peers, len(h.peers))
	}
	distant := max(min(len(h.others), homeCount-localHomes), homeCount-len(h.local))
	homes := appendFirst(make([]string, 0, homeCount), request, h.others, distant)
	return appendFirst(homes, request, h.local, homeCount-len(homes))
}

// Candidates returns the addresses of the instances that may be homes of a request that another
// instance relayed, wherever that is.
func (h *Homes) Candidates(request uint64) []string {
	if len(h.peers) <= maxPeersForAll+1 {
		return appendFirst(nil, request, h.peers, len(h.peers))
	}
	ranks := homeCount + spareRanks
	if len(h.dataCentres) > 2 {
		ranks = localHomes + spareRanks
	}
	var list []string
	for _, peers := range h.dataCentres {
		list = appendFirst(list, request, peers, ranks)
	}
	return list
}

// appendFirst appends the addresses of the first peers by the rank for a request.
func appendFirst(list []string, request uint64, peers []rankedPeer, count int) []string {
	if len(peers) <= count {
		for i := range peers {
			list = append(list, peers[i].Address)
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
		list = append(list, peers[b.index].Address)
	}
	return list
}
