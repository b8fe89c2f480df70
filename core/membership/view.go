package membership

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// held is a record with the time of its last change.
type held struct {
	Record
	since core.Instant
}

// view is the set of known records with hashes per data centre. Lists are kept
// sorted by ID, so that choices depend only on the seed.
type view struct {
	home    core.DataCentre
	records map[core.InstanceID]held
	// order lists the IDs of all records in order.
	order   []core.InstanceID
	centres map[core.DataCentre]Record
	// hashes and counts cover records that are not dead.
	hashes map[core.DataCentre]uint64
	counts map[core.DataCentre]int
	// version grows with every change; cached delegates belong to one version.
	version   uint64
	cached    map[core.DataCentre][]Record
	cachedFor uint64
}

func newView(home core.DataCentre) view {
	return view{
		home:    home,
		records: make(map[core.InstanceID]held),
		centres: make(map[core.DataCentre]Record),
		hashes:  make(map[core.DataCentre]uint64),
		counts:  make(map[core.DataCentre]int),
		cached:  make(map[core.DataCentre][]Record),
	}
}

func hashOf(r Record) uint64 {
	var suffix [9]byte
	binary.LittleEndian.PutUint64(suffix[:], r.Incarnation)
	suffix[8] = byte(r.Status)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(r.ID))
	_, _ = d.Write(suffix[:])
	return d.Sum64()
}

func (v *view) get(r Record) (Record, bool) {
	if r.isCentre() {
		centre, ok := v.centres[r.DataCentre]
		return centre, ok
	}
	h, ok := v.records[r.ID]
	return h.Record, ok
}

func (v *view) changed(id core.InstanceID) core.Instant { return v.records[id].since }

func (v *view) put(now core.Instant, r Record) {
	v.version++
	if r.isCentre() {
		v.centres[r.DataCentre] = r
		return
	}
	old, known := v.records[r.ID]
	if known {
		v.count(old.Record, -1)
	} else {
		i, _ := slices.BinarySearch(v.order, r.ID)
		v.order = slices.Insert(v.order, i, r.ID)
	}
	v.records[r.ID] = held{r, now}
	v.count(r, 1)
}

func (v *view) count(r Record, by int) {
	if r.Status == StatusDead {
		return
	}
	v.hashes[r.DataCentre] ^= hashOf(r)
	if v.counts[r.DataCentre] += by; v.counts[r.DataCentre] == 0 {
		delete(v.counts, r.DataCentre)
		delete(v.hashes, r.DataCentre)
	}
}

// hash returns a short hash over all records. One in 4 billion differences stays
// unseen until the next change.
func (v *view) hash() uint32 {
	var h uint64
	for _, x := range v.hashes {
		h ^= x
	}
	return uint32(h)
}

func (v *view) local() int                     { return v.counts[v.home] }
func (v *view) countIn(dc core.DataCentre) int { return v.counts[dc] }
func (v *view) isLost(dc core.DataCentre) bool { return v.centres[dc].Status == StatusDead }
func (v *view) all(yield func(held) bool)      { v.each(yield) }
func (v *view) in(dc core.DataCentre) []Record { return v.selected(inCentre(dc)) }
func (v *view) dropped() []Record              { return v.selected(isDead) }
func isDead(r Record) bool                     { return r.Status == StatusDead }
func inCentre(dc core.DataCentre) func(Record) bool {
	return func(r Record) bool { return r.DataCentre == dc && r.Status != StatusDead }
}

func (v *view) each(yield func(held) bool) {
	for _, id := range v.order {
		if !yield(v.records[id]) {
			return
		}
	}
}

func (v *view) selected(keep func(Record) bool) []Record {
	var list []Record
	for h := range v.all {
		if keep(h.Record) {
			list = append(list, h.Record)
		}
	}
	return list
}

// random returns one selected record.
func (v *view) random(rng *rand.Rand, keep func(Record) bool) (Record, bool) {
	list := v.sample(rng, 1, keep)
	if len(list) == 0 {
		return Record{}, false
	}
	return list[0], true
}

// sample returns up to n selected records in random order.
func (v *view) sample(rng *rand.Rand, n int, keep func(Record) bool) []Record {
	list := v.selected(keep)
	for i := range min(n, len(list)) {
		j := i + rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// expired returns the members whose suspicion has ended.
func (v *view) expired(now core.Instant) []Record {
	var list []Record
	for h := range v.all {
		if h.Status == StatusSuspect && now.Sub(h.since) >= SuspicionTimeout {
			list = append(list, h.Record)
		}
	}
	return list
}

// extendSuspicions gives members the time to refute that a pause took from them.
func (v *view) extendSuspicions(gap time.Duration) {
	for id, h := range v.records {
		if h.Status == StatusSuspect {
			h.since = h.since.Add(gap)
			v.records[id] = h
		}
	}
}

// prune forgets members that were dropped long ago.
func (v *view) prune(now core.Instant) {
	v.order = slices.DeleteFunc(v.order, func(id core.InstanceID) bool {
		h := v.records[id]
		if h.Status != StatusDead || now.Sub(h.since) < tombstone {
			return false
		}
		delete(v.records, id)
		return true
	})
}

// delegates returns the live members of a data centre with the greatest hashes.
func (v *view) delegates(dc core.DataCentre) []Record {
	if v.cachedFor != v.version {
		clear(v.cached)
		v.cachedFor = v.version
	}
	if list, ok := v.cached[dc]; ok {
		return list
	}
	list := v.selected(func(r Record) bool { return r.DataCentre == dc && r.Status == StatusAlive })
	slices.SortFunc(list, func(a, b Record) int { return byRank(a.ID, b.ID) })
	list = slices.Clip(list[:min(DelegateCount, len(list))])
	v.cached[dc] = list
	return list
}

// byRank orders instances for duties in their data centre, alike on all of them.
func byRank(a, b core.InstanceID) int {
	if c := cmp.Compare(xxhash.Sum64String(string(b)), xxhash.Sum64String(string(a))); c != 0 {
		return c
	}
	return strings.Compare(string(a), string(b))
}
