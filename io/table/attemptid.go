package table

import (
	"crypto/rand"
	"strconv"
	"sync/atomic"

	"gorseline/core"
)

// NewAttemptIDSource returns a function that generates unique attempt IDs. An ID consists
// of a random prefix of 130 bits for the process and a counter. The function is safe for
// concurrent use.
func NewAttemptIDSource() func() core.AttemptID {
	process := rand.Text()
	var counter atomic.Uint64
	return func() core.AttemptID {
		return core.AttemptID(process + "-" + strconv.FormatUint(counter.Add(1), 36))
	}
}
