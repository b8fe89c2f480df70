package quarantine

import (
	"math"
	"time"

	"gorseline/core"
)

const (
	// shareWindow is the time constant of the counts of lost and other requests.
	shareWindow = 10 * time.Second
	// priorRequests is the weight of the prior: one lost request among as many. It bounds the weight of
	// a loss while no others are seen.
	priorRequests = 50
	// priorProcessRequests is the same for the requests of a single engine process.
	priorProcessRequests = 2
	// Runs that last are also compared with a prior of one lost run in priorLifetime, which has the
	// weight of priorLongRuns runs.
	priorLifetime = 30 * time.Second
	priorLongRuns = 10
)

const (
	// shortRun bounds the first interval of the time that a run has lasted. Each further interval is
	// twice as long as the one before.
	shortRun      = 125 * time.Millisecond
	intervalCount = 8
	// afterEnd stands for the time after a complete answer. It follows the intervals.
	afterEnd   = intervalCount
	stageCount = intervalCount + 1
)

// stage is an interval of the time that a run has lasted, or afterEnd.
type stage int

// stageOf returns the interval of a run that has lasted for a time.
func stageOf(lasted time.Duration) stage {
	s := stage(0)
	for bound := shortRun; lasted > bound && s < intervalCount-1; bound *= 2 {
		s++
	}
	return s
}

// priorHazard returns the assumed probability that a run that has reached an interval is lost in it,
// and the weight of this assumption in runs.
func priorHazard(s stage) (hazard, weight float64) {
	if s == 0 || s == afterEnd {
		return 1.0 / priorRequests, priorRequests
	}
	length := shortRun << (s - 1)
	return float64(length) / float64(priorLifetime), priorLongRuns
}

// stageCounts holds counts of runs by the stage in which they ended.
type stageCounts [stageCount]float64

// lossRates estimates the probability that a run is lost, by the time that it has lasted: long runs are
// more exposed to crashes. The counts decay exponentially.
type lossRates struct {
	// lost counts lost runs. ended counts the others, complete ones also in afterEnd.
	lost, ended stageCounts
	at          core.Instant
}

func (l *lossRates) addLost(now core.Instant, s stage) {
	l.decay(now)
	l.lost[s]++
}

func (l *lossRates) addEnded(now core.Instant, s stage) {
	l.decay(now)
	l.ended[s]++
}

func (l *lossRates) decay(now core.Instant) {
	factor := decayFactor(now.Sub(l.at))
	for s := range l.lost {
		l.lost[s] *= factor
		l.ended[s] *= factor
	}
	l.at = now
}

// probability returns the probability that a run is lost by the end of a stage, as the product-limit
// estimate of the intervals up to it. excluded holds the decayed numbers of lost runs that don't count.
func (l *lossRates) probability(now core.Instant, until stage, excluded *stageCounts) float64 {
	l.decay(now)
	lost := l.lost
	for s := range lost {
		lost[s] = max(0, lost[s]-excluded[s])
	}
	if until == afterEnd {
		// Where many runs are lost, so are many processes by chance after the end of another run.
		return max(hazard(afterEnd, lost[afterEnd], lost[afterEnd]+l.ended[afterEnd]), l.lostBy(0, &lost))
	}
	return l.lostBy(until, &lost)
}

// lostBy returns the probability that a run is lost by the end of an interval.
func (l *lossRates) lostBy(until stage, lost *stageCounts) float64 {
	atRisk := 0.0
	for s := range intervalCount {
		atRisk += lost[s] + l.ended[s]
	}
	survival := 1.0
	for s := range until + 1 {
		survival *= 1 - hazard(s, lost[s], atRisk)
		atRisk -= lost[s] + l.ended[s]
	}
	return 1 - survival
}

func hazard(s stage, lost, atRisk float64) float64 {
	prior, weight := priorHazard(s)
	return (lost + prior*weight) / (max(lost, atRisk) + weight)
}

// lossShare is the share of lost requests of one process, in counts that decay exponentially.
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

// value returns the share with the prior.
func (l *lossShare) value(now core.Instant) float64 {
	l.decay(now)
	return (l.lost + 1) / (l.lost + l.survived + priorProcessRequests)
}
