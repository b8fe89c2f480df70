package quarantine

import (
	"math"
	"time"

	"gorseline/core"
)

const (
	// shareWindow is the time constant of the share of lost requests.
	shareWindow = 10 * time.Second
	// priorRequests is the weight of the prior: one lost request among as many. It bounds the weight of
	// a loss while no others are seen.
	priorRequests = 50
	// priorProcessRequests is the same for the requests of a single engine process.
	priorProcessRequests = 2
)

// lossShare is the share of lost requests, in counts that decay exponentially.
type lossShare struct {
	lost, survived float64
	at             core.Instant
}

func (l *lossShare) add(now core.Instant, lost, survived float64) {
	l.decay(now)
	l.lost += lost
	l.survived += survived
}

func (l *lossShare) decay(now core.Instant) {
	factor := decayFactor(now.Sub(l.at))
	l.lost, l.survived, l.at = l.lost*factor, l.survived*factor, now
}

// decayFactor returns the weight of a request after a time.
func decayFactor(age time.Duration) float64 { return math.Exp(-float64(age) / float64(shareWindow)) }

// value returns the share with a prior of one lost request among prior requests. excluded is the
// decayed number of lost requests that don't count.
func (l *lossShare) value(now core.Instant, prior, excluded float64) float64 {
	l.decay(now)
	lost := max(0, l.lost-excluded)
	return (lost + 1) / (lost + l.survived + prior)
}
