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
	// maxExcessiveShare their share of all arrivals; only more than both is a violation.
	maxExcessive      = 20
	maxExcessiveShare = 1.0 / 5
)

// checkRemaining checks that targets are not given more time than is left of that of the caller:
// neither at the first arrival of a request nor when it is sent again later.
func checkRemaining(arrivals []platform.Arrival) []string {
	slices.SortStableFunc(arrivals, func(a, b platform.Arrival) int { return a.At.Compare(b.At) })
	first := map[string]platform.Arrival{}
	excessive := 0
	for _, a := range arrivals {
		before, again := first[a.ID]
		if !again {
			first[a.ID] = a
		}
		isLate := again && a.At.Sub(before.At) > remainingTolerance
		endsLate := again && a.At.Add(a.Remaining).Sub(before.At.Add(before.Remaining)) > remainingTolerance
		if a.Remaining <= 0 || a.Remaining > timeoutOf(a.ID)+remainingTolerance || isLate && endsLate {
			excessive++
		}
	}
	if excessive <= maxExcessive || float64(excessive) <= maxExcessiveShare*float64(len(arrivals)) {
		return nil
	}
	return []string{fmt.Sprintf("targets were given more time than was left in %d of %d arrivals", excessive, len(arrivals))}
}
