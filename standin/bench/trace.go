package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"gorseline/core"
)

// call is one arrival of a trace. What follows from the policy under test is kept
// in the job and in the run, so that a trace can be used by several runs at once.
type call struct {
	core.Request
	workload int
	// output is the true length of the answer; Request.OutputTokens is the caller's
	// estimate of it.
	output int
	// prefix identifies the shared prefix of prefixTokens, 0 for none. own is the
	// rest of the prompt.
	prefix       uint64
	prefixTokens int
	own          int
	serviceTime  time.Duration
}

// organisations is the number of tenants that calls are spread over.
const organisations = 40

// estimateSpread is the log-normal error of the callers' output estimates.
const estimateSpread = 0.2

// newTrace generates the arrivals of one scenario, ordered by time. Arrivals are a
// Poisson process whose rate follows the scenario's load.
func newTrace(d *Deployment, s *Scenario, seed uint64) []call {
	r := rand.New(rand.NewPCG(seed, 0x6f72736c))
	prefixes := prefixBlocks(d)
	var calls []call
	total := 0.0
	for i := range d.Workloads {
		total += d.Workloads[i].Rate
	}
	for at := 0.0; ; {
		part := at / s.Duration.Seconds()
		shift := s.shiftAt(part)
		rate := s.Load(part) / d.unitLoad(shift)
		at += r.ExpFloat64() / (total * rate)
		if at >= s.Duration.Seconds() {
			return calls
		}
		c := newCall(d, pick(r, d.Workloads, total), shift, r, prefixes)
		c.Arrived = core.Instant(at * float64(time.Second))
		c.Deadline = c.Arrived.Add(c.Kind.Deadline)
		c.ID = core.RequestID(strconv.Itoa(len(calls)))
		if !c.Kind.Repeatable {
			c.Key = core.OperationKey(c.ID)
		}
		calls = append(calls, c)
	}
}

func pick(r *rand.Rand, workloads []Workload, total float64) int {
	x := r.Float64() * total
	for i := range workloads {
		if x -= workloads[i].Rate; x < 0 {
			return i
		}
	}
	return len(workloads) - 1
}

func newCall(d *Deployment, workload int, shift Shift, r *rand.Rand, prefixes [][]uint64) call {
	w := &d.Workloads[workload]
	c := call{workload: workload}
	c.Kind = w.Kind
	c.Organisation = core.Organisation("org-" + strconv.Itoa(r.IntN(organisations)))
	if w.Service != "" {
		c.Service = w.Service
		c.serviceTime = time.Duration(float64(w.ServiceTime) * min(4, r.ExpFloat64()))
		return c
	}
	c.Model = d.Model
	prompt, output := float64(w.Prompt), float64(w.Output)
	if w.ShiftsLengths {
		prompt, output = prompt*shift.PromptFactor, output*shift.OutputFactor
	}
	c.own = length(r, prompt, w.LengthSigma)
	c.output = length(r, output, w.LengthSigma)
	c.OutputTokens = max(1, int(float64(c.output)*math.Exp(estimateSpread*r.NormFloat64())))
	if w.Prefixes > 0 {
		number := r.IntN(w.Prefixes)
		c.prefix, c.prefixTokens = uint64(number+1), w.PrefixTokens
		c.PrefixBlocks = prefixes[number]
	}
	c.PromptTokens = c.prefixTokens + c.own
	return c
}

// length draws a log-normal length with the given mean, at most three times it.
func length(r *rand.Rand, mean, spread float64) int {
	x := mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
	return max(1, int(min(x, 3*mean)))
}

// prefixBlocks returns the block hashes of each shared prefix. An instance hashes
// only as many blocks per request, so the blocks of the rest of the prompt are left
// out.
func prefixBlocks(d *Deployment) [][]uint64 {
	var all [][]uint64
	for i := range d.Workloads {
		w := &d.Workloads[i]
		for number := range w.Prefixes {
			blocks := make([]uint64, w.PrefixTokens/core.PrefixBlockTokens)
			r := rand.New(rand.NewPCG(uint64(number), uint64(i)))
			for b := range blocks {
				blocks[b] = r.Uint64()
			}
			all = append(all, blocks)
		}
	}
	return all
}
