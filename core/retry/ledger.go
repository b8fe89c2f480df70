package retry

// Stage is what a send asks of its target.
type Stage uint8

// Stages of a request.
const (
	// StageRun runs the request.
	StageRun Stage = iota
	// StageCompute computes the prompt, so that another target can run the request.
	StageCompute
)

// SendResult is what a sender knows about a send.
type SendResult uint8

// Results of a send.
const (
	// SendNotSent means that no byte of the request was sent.
	SendNotSent SendResult = iota
	// SendRefused means that the target refused the request without running it.
	SendRefused
	// SendAccepted means that the target ran the request or computed its prompt.
	SendAccepted
	// SendUnknown means that there was no answer.
	SendUnknown
)

// Ledger counts the sends of one request that draw on the retry budget of its service. Each
// arrival at a target beyond the first costs one retry, except for the first computation of the
// prompt that a target accepts. The zero value is the ledger of a request that has not been
// sent.
type Ledger struct {
	// arrivals is the number of sends that may have arrived, without the computation that is
	// free. computed is set once that one has been used.
	arrivals int
	computed bool
	// taken is the number of retries taken from the budget.
	taken int
}

// Due returns how many retries must be taken before a send. Before another computation of the
// prompt that includes the run that follows it, so that no prompt is computed in vain.
func (l *Ledger) Due(stage Stage) int {
	arrivals := l.arrivals + 1
	if stage == StageCompute && l.computed {
		arrivals++
	}
	return max(0, arrivals-1-l.taken)
}

// Take records retries taken from the budget.
func (l *Ledger) Take(n int) { l.taken += n }

// Record records the result of a send. A computation without an answer counts as an arrival and
// leaves the free one to the next: whichever of the two was accepted, their sum is right.
func (l *Ledger) Record(stage Stage, result SendResult) {
	switch {
	case result == SendNotSent:
	case stage == StageCompute && result == SendAccepted && !l.computed:
		l.computed = true
	default:
		l.arrivals++
	}
}

// Arrivals returns the number of sends that may have arrived, without the computation that is free.
func (l *Ledger) Arrivals() int { return l.arrivals }

// Extra returns the number of arrivals beyond the first.
func (l *Ledger) Extra() int { return max(0, l.arrivals-1) }
