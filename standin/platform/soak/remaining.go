package soak

import (
	"fmt"
	"slices"
	"time"

	"gorseline/standin/platform"
)

// Limits on the time that targets are given.
const (
	// remainingTolerance is by how much the time that a target is given may exceed what is left.
	remainingTolerance = 500 * time.Millisecond
	// maxExcessive is the number of arrivals with too much time that may occur, and
	// maxExcessiveShare their share of all arrivals, or of those of requests that are sent again
	// late; only more than both is a violation.
	maxExcessive      = 20
	maxExcessiveShare = 1.0 / 5
)

// checkRemaining checks that targets are not given more time than is left of that of the caller:
// neither at the first arrival of a request nor when it is sent again later.
func checkRemaining(arrivals []platform.Arrival) []string {
	slices.SortStableFunc(arrivals, func(a, b platform.Arrival) int { return a.At.Compare(b.At) })
	first := map[string]platform.Arrival{}
	all, late := excess{total: len(arrivals)}, excess{}
	for _, a := range arrivals {
		before, again := first[a.ID]
		if !again {
			first[a.ID] = a
		}
		if a.Remaining <= 0 || a.Remaining > timeoutOf(a.ID)+remainingTolerance {
			all.count++
		}
		if again && a.At.Sub(before.At) > remainingTolerance {
			late.total++
			if a.At.Add(a.Remaining).Sub(before.At.Add(before.Remaining)) > remainingTolerance {
				late.count++
			}
		}
	}
	var violations []string
	if all.isViolation() {
		violations = append(violations, fmt.Sprintf("targets were given no time or more than the caller's in %d of %d arrivals", all.count, all.total))
	}
	if late.isViolation() {
		violations = append(violations, fmt.Sprintf("targets were given more time than was left in %d of %d late repeats", late.count, late.total))
	}
	return violations
}

// excess counts the arrivals with too much time among those of one kind.
type excess struct{ count, total int }

func (e excess) isViolation() bool {
	return e.count > maxExcessive && float64(e.count) > maxExcessiveShare*float64(e.total)
}
