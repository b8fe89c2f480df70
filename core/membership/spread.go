package membership

import (
	"math/bits"
	"slices"
	"time"

	"gorseline/core"
)

const (
	// sendFactor times the binary logarithm of the data centre's size is how often
	// a record is sent. With 3 a record misses a member of 113 in less than one
	// case in a thousand; comparing views repairs that.
	sendFactor = 3
	// spreadFor is how long a record is offered to other data centres.
	spreadFor = 10 * time.Second
	// spreadLimit bounds the queue: the oldest records give way, and comparing
	// views repairs what that loses.
	spreadLimit = 256
)

type news struct {
	Record
	since core.Instant
	sent  int
	// remote counts how often the record went to other data centres.
	remote int
}

// spreader chooses the records that are piggybacked.
type spreader struct {
	queue []news
	// compare is a peer to compare all records with.
	compare Record
}

func (s *spreader) add(now core.Instant, r Record) {
	s.queue = slices.DeleteFunc(s.queue, func(n news) bool {
		return n.ID == r.ID && (r.ID != "" || n.DataCentre == r.DataCentre)
	})
	if len(s.queue) == spreadLimit {
		s.queue = slices.Delete(s.queue, 0, 1)
	}
	s.queue = append(s.queue, news{Record: r, since: now})
}

func (s *spreader) prune(now core.Instant) {
	s.queue = slices.DeleteFunc(s.queue, func(n news) bool { return now.Sub(n.since) > spreadFor })
}

// take returns up to limit records, those sent least often first.
func (s *spreader) take(limit, members int, isLocal bool) []Record {
	if len(s.queue) == 0 {
		return nil
	}
	most := sendFactor * bits.Len(uint(members))
	slices.SortStableFunc(s.queue, func(a, b news) int { return a.count(isLocal) - b.count(isLocal) })
	var list []Record
	for i := range s.queue {
		n := &s.queue[i]
		if len(list) == limit || n.count(isLocal) >= most {
			break
		}
		if !isLocal && n.isCentre() {
			continue
		}
		list = append(list, n.Record)
		if isLocal {
			n.sent++
		} else {
			n.remote++
		}
	}
	return list
}

func (n news) count(isLocal bool) int {
	if isLocal {
		return n.sent
	}
	return n.remote
}
