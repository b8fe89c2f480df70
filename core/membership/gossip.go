package membership

import (
	"math/bits"
	"slices"
	"time"

	"gorseline/core"
)

const (
	// retransmitFactor times the binary logarithm of the number of members in the data
	// centre is how often a record is sent. With 3, a record fails to reach one of 113
	// members in less than one case in a thousand; comparing views repairs that.
	retransmitFactor = 3
	// gossipTTL is how long a record stays in the queue.
	gossipTTL = 10 * time.Second
	// maxQueuedRecords bounds the queue. The oldest records are evicted, and comparing
	// views repairs the loss.
	maxQueuedRecords = 256
)

// queuedRecord is a record to gossip.
type queuedRecord struct {
	Record
	addedAt core.Instant
	// sentLocal counts how often the record was sent within the data centre.
	sentLocal int
	// sentRemote counts how often the record was sent to other data centres.
	sentRemote int
}

// gossipQueue selects the records that are piggybacked on messages.
type gossipQueue struct{ records []queuedRecord }

func (q *gossipQueue) add(now core.Instant, r Record) {
	q.records = slices.DeleteFunc(q.records, func(queued queuedRecord) bool {
		return queued.ID == r.ID && (r.ID != "" || queued.DataCentre == r.DataCentre)
	})
	if len(q.records) == maxQueuedRecords {
		q.records = slices.Delete(q.records, 0, 1)
	}
	q.records = append(q.records, queuedRecord{Record: r, addedAt: now})
}

func (q *gossipQueue) prune(now core.Instant) {
	q.records = slices.DeleteFunc(q.records, func(r queuedRecord) bool { return now.Sub(r.addedAt) > gossipTTL })
}

// take returns up to limit records, those that were sent least often first. members is the
// number of members in the data centre.
func (q *gossipQueue) take(limit, members int, isLocal bool) []Record {
	if len(q.records) == 0 {
		return nil
	}
	maxSends := retransmitFactor * bits.Len(uint(members))
	slices.SortStableFunc(q.records, func(a, b queuedRecord) int { return a.sendCount(isLocal) - b.sendCount(isLocal) })
	var list []Record
	for i := range q.records {
		r := &q.records[i]
		if len(list) == limit || r.sendCount(isLocal) >= maxSends {
			break
		}
		if !isLocal && r.isDataCentre() {
			continue
		}
		list = append(list, r.Record)
		if isLocal {
			r.sentLocal++
		} else {
			r.sentRemote++
		}
	}
	return list
}

func (r queuedRecord) sendCount(isLocal bool) int {
	if isLocal {
		return r.sentLocal
	}
	return r.sentRemote
}
