package bench

import (
	"container/heap"

	"gorseline/core"
)

// stage is the processing stage of a job.
type stage uint8

const (
	// stageInTransit means that the job or its KV cache is being transferred.
	stageInTransit stage = iota
	// stagePrompt means that the prompt is queued or being computed.
	stagePrompt
	// stageWaiting means that the job waits for a slot.
	stageWaiting
	stageRunning
	stageEnded
)

// job is one attempt to serve a call.
type job struct {
	call *call
	// callIndex is the position of the call in the trace.
	callIndex int
	// seq is the position of the job in the order of sending.
	seq      uint64
	decision core.Decision
	// prefill computes the prompt and target generates the answer; they are equal if one
	// engine does both. Calls of plain services have a server instead.
	prefill, target *engine
	server          *server
	// importFrom is the engine that the shared prefix is imported from, or nil.
	importFrom *engine
	// countedOnPrefill is set while the fleet counts the job on a separate prefill engine.
	countedOnPrefill bool
	stage            stage
	// prefixApplied is set once the cached prefix is subtracted from remainingPrompt.
	prefixApplied bool
	// remainingPrompt is the number of prompt tokens that are still to be computed.
	// finishCounter is the target's token counter at which the answer is complete.
	remainingPrompt float64
	finishCounter   float64
	// kvTokens is the KV memory that the job occupies in the batch.
	kvTokens int
	// heapIndex is the position in the heap that contains the job.
	heapIndex int
}

// jobHeap is a heap of jobs that supports the removal of any job.
type jobHeap struct {
	jobs []*job
	less func(a, b *job) bool
}

var _ heap.Interface = (*jobHeap)(nil)

// byPriority orders jobs by descending priority and then by seq.
func byPriority(a, b *job) bool {
	if p, q := a.call.Kind.Priority, b.call.Kind.Priority; p != q {
		return p > q
	}
	return a.seq < b.seq
}

// byFinish orders jobs by finishCounter and then by seq.
func byFinish(a, b *job) bool {
	return a.finishCounter < b.finishCounter || a.finishCounter == b.finishCounter && a.seq < b.seq
}

// Len returns the number of jobs.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less orders two jobs.
func (h *jobHeap) Less(i, j int) bool { return h.less(h.jobs[i], h.jobs[j]) }

// Swap exchanges two jobs.
func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].heapIndex, h.jobs[j].heapIndex = i, j
}

// Push appends a job; use push instead.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop removes the last job; use pop instead.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	return j
}

func (h *jobHeap) push(j *job) { heap.Push(h, j) }

func (h *jobHeap) pop() *job { return heap.Pop(h).(*job) }

func (h *jobHeap) remove(j *job) { heap.Remove(h, j.heapIndex) }

// peek returns the first job, or nil if there is none.
func (h *jobHeap) peek() *job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}
