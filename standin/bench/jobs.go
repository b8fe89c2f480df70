package bench

import (
	"container/heap"

	"gorseline/core"
)

// stage is where a job is on its way through the engines.
type stage uint8

const (
	stageTransit stage = iota
	stagePrompt
	stageWaiting
	stageRunning
	stageOver
)

// job is one attempt to serve a call.
type job struct {
	call     *call
	number   int
	seq      uint64
	decision core.Decision
	// prefill and target are the engines of the attempt; they are equal when one
	// engine does both. server is set for plain services instead.
	prefill, target *engine
	server          *server
	importFrom      *engine
	// paired is set while the prefill engine of a pair has the request.
	paired  bool
	stage   stage
	started bool
	// remaining is the prompt work in tokens; finish is the target's token counter
	// at which the answer is complete.
	remaining float64
	finish    float64
	kv        int
	index     int
}

// jobHeap is a heap of jobs that can remove any of them.
type jobHeap struct {
	jobs []*job
	less func(a, b *job) bool
}

var _ heap.Interface = (*jobHeap)(nil)

func byPriority(a, b *job) bool {
	if p, q := a.call.Kind.Priority, b.call.Kind.Priority; p != q {
		return p > q
	}
	return a.seq < b.seq
}

func byFinish(a, b *job) bool {
	return a.finish < b.finish || a.finish == b.finish && a.seq < b.seq
}

// Len returns the number of jobs.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less orders two jobs.
func (h *jobHeap) Less(i, j int) bool { return h.less(h.jobs[i], h.jobs[j]) }

// Swap exchanges two jobs.
func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].index, h.jobs[j].index = i, j
}

// Push appends a job; use push instead.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop removes the last job; use take instead.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	return j
}

func (h *jobHeap) push(j *job) { heap.Push(h, j) }

func (h *jobHeap) take() *job { return heap.Pop(h).(*job) }

func (h *jobHeap) remove(j *job) { heap.Remove(h, j.index) }

func (h *jobHeap) head() *job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}
