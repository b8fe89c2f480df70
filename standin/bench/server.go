package bench

import "gorseline/core"

// server is a fake replica of a plain service, with a priority queue and a fixed number of
// slots.
type server struct {
	core.Target
	index int
	slots int
	// running is the number of occupied slots.
	running int
	queue   jobHeap
}

func newServer(index int, target core.Target, slots int) *server {
	return &server{Target: target, index: index, slots: slots, queue: jobHeap{less: byPriority}}
}

// startQueued moves queued calls to free slots and calls serve for each.
func (s *server) startQueued(serve func(*job)) {
	for s.running < s.slots && s.queue.Len() > 0 {
		j := s.queue.pop()
		j.stage = stageRunning
		s.running++
		serve(j)
	}
}

func (s *server) report() core.LoadReport {
	return core.LoadReport{QueuedRequests: s.queue.Len(), Running: s.running}
}
