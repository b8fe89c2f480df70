package authority

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// leaseRow is the value of row Shard/<n>.
type leaseRow struct {
	Holder core.InstanceID
	// Fence is 0 in the row that the acquisition writes; the version of that row is the
	// fence. Renewals write the fence.
	Fence    core.Fence `json:",omitempty"`
	Attempt  core.AttemptID
	Released bool `json:",omitempty"`
	// Era is the era of the table that the writer knew.
	Era uint64 `json:",omitempty"`
}

// isCurrent reports whether the row tells who holds the lease in the table's era. A row of an
// earlier era, or none, may be what an older copy had: the lease may have been acquired since.
func (l leaseRow) isCurrent(row core.Row) bool {
	return l.Era == row.Era && (row.Version != 0 || row.Era == 0)
}

// ShardKey returns the key of a shard's lease row.
func ShardKey(shard int) string { return "Shard/" + strconv.Itoa(shard) }

// ShardOf returns the shard of a target. The targets of a service are divided into the
// given number of groups. All targets of a group belong to the same shard, because the
// holder of a shard plans the roles of whole groups. The arguments shards and groups must
// not change while instances run: two holders could otherwise give orders to one target
// under fences of different shards.
func ShardOf(target core.Target, shards, groups int) int {
	group := xxhash.Sum64String(string(target.ID)) % uint64(max(1, groups))
	key := string(target.Service) + "/" + strconv.FormatUint(group, 10)
	return int(xxhash.Sum64String(key) % uint64(shards))
}

// decodeLease returns the lease in a row with its fence filled in. An absent or
// undecodable row is a lease without a holder.
func decodeLease(row core.Row) leaseRow {
	var lease leaseRow
	if row.Version == 0 || json.Unmarshal(row.Value, &lease) != nil {
		return leaseRow{}
	}
	if lease.Fence == 0 {
		lease.Fence = core.Fence(row.Version)
	}
	return lease
}

// FenceOf returns the current fence of a shard's row, or 0 if no instance holds the lease.
func FenceOf(row core.Row) core.Fence {
	lease := decodeLease(row)
	if lease.Released {
		return 0
	}
	return lease.Fence
}

// encode returns v as JSON. It panics on values that JSON can't encode; the rows of this
// package hold none.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("authority: encode %T: %v", v, err))
	}
	return data
}

// Lease is the lease of one shard in the memory of its holder.
type Lease struct {
	Shard int
	Fence core.Fence
	// ExpiresAt is when the lease expires unless it is renewed.
	ExpiresAt core.Instant
	// UnfencedFrom is when orders of an earlier holder can no longer arrive. No order to
	// a target that doesn't check fences is sent before it.
	UnfencedFrom core.Instant
}

// rankOf returns how many members precede self in the rendezvous hashing order of a
// shard, but at most limit.
func rankOf(shard int, self core.InstanceID, members []core.InstanceID, limit int) int {
	rank := 0
	own := weight(shard, self)
	for _, m := range members {
		if rank == limit {
			break
		}
		if w := weight(shard, m); w > own || w == own && m > self {
			rank++
		}
	}
	return rank
}

// Watchers returns the members that may acquire the lease of a shard, the preferred one first. Its holder is
// usually among them.
func Watchers(shard int, members []core.InstanceID) []core.InstanceID {
	watchers := slices.Clone(members)
	slices.SortFunc(watchers, func(a, b core.InstanceID) int {
		return cmp.Or(cmp.Compare(weight(shard, b), weight(shard, a)), cmp.Compare(b, a))
	})
	return watchers[:min(len(watchers), watchersPerShard)]
}

func weight(shard int, id core.InstanceID) uint64 {
	var buffer [64]byte
	key := strconv.AppendInt(buffer[:0], int64(shard), 10)
	key = append(key, '/')
	return xxhash.Sum64(append(key, id...))
}

func sortedShards[V any](m map[int]V) []int {
	shards := make([]int, 0, len(m))
	for shard := range m {
		shards = append(shards, shard)
	}
	sort.Ints(shards)
	return shards
}
