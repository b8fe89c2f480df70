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

// timedRecord is a record with the time of its last change.
type timedRecord struct {
	Record
	changedAt core.Instant
}

// view is the set of known records with hashes per data centre. Lists are sorted by ID, so
// that random choices are reproducible from the seed.
type view struct {
	// local is the data centre of this instance.
	local   core.DataCentre
	records map[core.InstanceID]timedRecord
	// sortedIDs holds the IDs of all records.
	sortedIDs   []core.InstanceID
	dataCentres map[core.DataCentre]Record
	// hashes and counts cover records that are not dead.
	hashes map[core.DataCentre]uint64
	counts map[core.DataCentre]int
	// version increases with every change; delegateCache is valid for
	// delegateCacheVersion.
	version              uint64
	delegateCache        map[core.DataCentre][]Record
	delegateCacheVersion uint64
}

func newView(local core.DataCentre) view {
	return view{
		local:         local,
		records:       make(map[core.InstanceID]timedRecord),
		dataCentres:   make(map[core.DataCentre]Record),
		hashes:        make(map[core.DataCentre]uint64),
		counts:        make(map[core.DataCentre]int),
		delegateCache: make(map[core.DataCentre][]Record),
	}
}

func hashRecord(r Record) uint64 {
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
	if r.isDataCentre() {
		centre, ok := v.dataCentres[r.DataCentre]
		return centre, ok
	}
	known, ok := v.records[r.ID]
	return known.Record, ok
}

func (v *view) lastChange(id core.InstanceID) core.Instant { return v.records[id].changedAt }

func (v *view) put(now core.Instant, r Record) {
	v.version++
	if r.isDataCentre() {
		v.dataCentres[r.DataCentre] = r
		return
	}
	old, known := v.records[r.ID]
	if known {
		v.updateCounts(old.Record, -1)
	} else {
		i, _ := slices.BinarySearch(v.sortedIDs, r.ID)
		v.sortedIDs = slices.Insert(v.sortedIDs, i, r.ID)
	}
	v.records[r.ID] = timedRecord{r, now}
	v.updateCounts(r, 1)
}

func (v *view) updateCounts(r Record, by int) {
	if r.Status == StatusDead {
		return
	}
	v.hashes[r.DataCentre] ^= hashRecord(r)
	if v.counts[r.DataCentre] += by; v.counts[r.DataCentre] == 0 {
		delete(v.counts, r.DataCentre)
		delete(v.hashes, r.DataCentre)
	}
}

// hash returns a 32-bit hash over all records that are not dead. One in 4 billion
// differences goes undetected until the next change.
func (v *view) hash() uint32 {
	var h uint64
	for _, x := range v.hashes {
		h ^= x
	}
	return uint32(h)
}

func (v *view) localCount() int                       { return v.counts[v.local] }
func (v *view) countIn(dc core.DataCentre) int        { return v.counts[dc] }
func (v *view) isLost(dc core.DataCentre) bool        { return v.dataCentres[dc].Status == StatusDead }
func (v *view) membersOf(dc core.DataCentre) []Record { return v.filter(inDataCentre(dc)) }
func (v *view) dead() []Record                        { return v.filter(isDead) }
func isDead(r Record) bool                            { return r.Status == StatusDead }
func inDataCentre(dc core.DataCentre) func(Record) bool {
	return func(r Record) bool { return r.DataCentre == dc && r.Status != StatusDead }
}

// all iterates over all records in the order of their IDs.
func (v *view) all(yield func(timedRecord) bool) {
	for _, id := range v.sortedIDs {
		if !yield(v.records[id]) {
			return
		}
	}
}

func (v *view) filter(keep func(Record) bool) []Record {
	var list []Record
	for r := range v.all {
		if keep(r.Record) {
			list = append(list, r.Record)
		}
	}
	return list
}

// random returns a random record for which keep returns true.
func (v *view) random(rng *rand.Rand, keep func(Record) bool) (Record, bool) {
	list := v.sample(rng, 1, keep)
	if len(list) == 0 {
		return Record{}, false
	}
	return list[0], true
}

// sample returns up to n records for which keep returns true, in random order.
func (v *view) sample(rng *rand.Rand, n int, keep func(Record) bool) []Record {
	list := v.filter(keep)
	for i := range min(n, len(list)) {
		j := i + rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// expired returns the members whose suspicion has timed out.
func (v *view) expired(now core.Instant) []Record {
	var list []Record
	for r := range v.all {
		if r.Status == StatusSuspect && now.Sub(r.changedAt) >= SuspicionTimeout {
			list = append(list, r.Record)
		}
	}
	return list
}

// extendSuspicions extends running suspicions by the length of a pause of this process, in
// which it could not receive refutations.
func (v *view) extendSuspicions(gap time.Duration) {
	for id, r := range v.records {
		if r.Status == StatusSuspect {
			r.changedAt = r.changedAt.Add(gap)
			v.records[id] = r
		}
	}
}

// prune removes the records of members that have been dead for at least tombstoneTTL.
func (v *view) prune(now core.Instant) {
	v.sortedIDs = slices.DeleteFunc(v.sortedIDs, func(id core.InstanceID) bool {
		r := v.records[id]
		if r.Status != StatusDead || now.Sub(r.changedAt) < tombstoneTTL {
			return false
		}
		delete(v.records, id)
		return true
	})
}

// delegates returns up to DelegateCount live members of a data centre, in the order of
// compareRank.
func (v *view) delegates(dc core.DataCentre) []Record {
	if v.delegateCacheVersion != v.version {
		clear(v.delegateCache)
		v.delegateCacheVersion = v.version
	}
	if list, ok := v.delegateCache[dc]; ok {
		return list
	}
	list := v.filter(func(r Record) bool { return r.DataCentre == dc && r.Status == StatusAlive })
	slices.SortFunc(list, func(a, b Record) int { return compareRank(a.ID, b.ID) })
	list = slices.Clip(list[:min(DelegateCount, len(list))])
	v.delegateCache[dc] = list
	return list
}

// compareRank orders instances by descending hash of their IDs, which is the same order on
// all instances.
func compareRank(a, b core.InstanceID) int {
	if c := cmp.Compare(xxhash.Sum64String(string(b)), xxhash.Sum64String(string(a))); c != 0 {
		return c
	}
	return strings.Compare(string(a), string(b))
}
