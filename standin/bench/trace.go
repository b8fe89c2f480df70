package bench

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"gorseline/core"
)

// call is one arrival of a trace. It is immutable, so that several runs can share a trace;
// the state of a call in a run is its callState.
type call struct {
	core.Request
	// workload is the index in Deployment.Workloads.
	workload int
	// actualOutput is the length of the answer in tokens; Request.OutputTokens is the
	// caller's estimate of it.
	actualOutput int
	// prefixID identifies the shared prefix, which has prefixTokens tokens; 0 means none.
	// The rest of the prompt has uniqueTokens tokens.
	prefixID     uint64
	prefixTokens int
	uniqueTokens int
	serviceTime  time.Duration
}

// organisationCount is the number of organisations that calls are distributed over.
const organisationCount = 40

// estimateSigma is the shape parameter of the log-normal error of the callers' estimates of
// the output length.
const estimateSigma = 0.2

// traceStream is the second seed of the random generator of traces.
const traceStream = 0x6f72736c

// newTrace generates the arrivals of one scenario, ordered by time. They form a Poisson
// process whose rate follows the scenario's load.
func newTrace(d *Deployment, s *Scenario, seed uint64) []call {
	r := rand.New(rand.NewPCG(seed, traceStream))
	prefixes := prefixBlocks(d)
	var calls []call
	totalRate := 0.0
	for i := range d.Workloads {
		totalRate += d.Workloads[i].Rate
	}
	for elapsed := 0.0; ; {
		fraction := elapsed / s.Duration.Seconds()
		shift := s.shiftAt(fraction)
		rate := s.Load(fraction) / d.configuredLoad(shift)
		elapsed += r.ExpFloat64() / (totalRate * rate)
		if elapsed >= s.Duration.Seconds() {
			return calls
		}
		c := newCall(d, pickWorkload(r, d.Workloads, totalRate), shift, r, prefixes)
		c.Arrived = core.Instant(elapsed * float64(time.Second))
		c.Deadline = c.Arrived.Add(c.Kind.Deadline)
		c.ID = core.RequestID(strconv.Itoa(len(calls)))
		if !c.Kind.Repeatable {
			c.Key = core.OperationKey(c.ID)
		}
		calls = append(calls, c)
	}
}

// pickWorkload draws the index of a workload with a probability proportional to its rate.
func pickWorkload(r *rand.Rand, workloads []Workload, totalRate float64) int {
	x := r.Float64() * totalRate
	for i := range workloads {
		if x -= workloads[i].Rate; x < 0 {
			return i
		}
	}
	return len(workloads) - 1
}

// newCall draws a call of the workload, without its arrival time, deadline and IDs.
func newCall(d *Deployment, workload int, shift Shift, r *rand.Rand, prefixes [][]uint64) call {
	w := &d.Workloads[workload]
	c := call{workload: workload}
	c.Kind = w.Kind
	c.Organisation = core.Organisation("org-" + strconv.Itoa(r.IntN(organisationCount)))
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
	c.uniqueTokens = drawLength(r, prompt, w.LengthSigma)
	c.actualOutput = drawLength(r, output, w.LengthSigma)
	c.OutputTokens = max(1, int(float64(c.actualOutput)*math.Exp(estimateSigma*r.NormFloat64())))
	if w.Prefixes > 0 {
		index := r.IntN(w.Prefixes)
		c.prefixID, c.prefixTokens = uint64(index+1), w.PrefixTokens
		c.PrefixBlocks = prefixes[index]
	}
	c.PromptTokens = c.prefixTokens + c.uniqueTokens
	return c
}

// drawLength draws a log-normal length with the given mean, between 1 and three times the
// mean.
func drawLength(r *rand.Rand, mean, sigma float64) int {
	x := mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	return max(1, int(min(x, 3*mean)))
}

// prefixBlocks returns the block hashes of each shared prefix. An instance hashes only a
// limited number of blocks per request, so the blocks of the rest of the prompt are omitted.
func prefixBlocks(d *Deployment) [][]uint64 {
	var all [][]uint64
	for i := range d.Workloads {
		w := &d.Workloads[i]
		for index := range w.Prefixes {
			blocks := make([]uint64, w.PrefixTokens/core.PrefixBlockTokens)
			r := rand.New(rand.NewPCG(uint64(index), uint64(i)))
			for b := range blocks {
				blocks[b] = r.Uint64()
			}
			all = append(all, blocks)
		}
	}
	return all
}
