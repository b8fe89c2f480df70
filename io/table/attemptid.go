package table

import (
	"crypto/rand"
	"strconv"
	"sync/atomic"

	"gorseline/core"
)

// NewAttemptIDSource returns a source of attempt IDs: a random text of 130 bits that no other
// process has, and a counter. It is safe for concurrent use.
func NewAttemptIDSource() func() core.AttemptID {
	process := rand.Text()
	var serial atomic.Uint64
	return func() core.AttemptID {
		return core.AttemptID(process + "-" + strconv.FormatUint(serial.Add(1), 36))
	}
}
