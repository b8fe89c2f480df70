package bench

import "gorseline/core"

// server is a fake replica of a plain service: a queue in front of a few slots.
type server struct {
	core.Target
	index int
	slots int
	// busy holds the calls being served, queue the ones that wait.
	busy  int
	queue jobHeap
}

func newServer(index int, target core.Target, slots int) *server {
	return &server{Target: target, index: index, slots: slots, queue: jobHeap{less: byPriority}}
}

// start takes waiting calls into free slots and calls serve for each.
func (s *server) start(serve func(*job)) {
	for s.busy < s.slots && s.queue.Len() > 0 {
		j := s.queue.take()
		j.stage = stageRunning
		s.busy++
		serve(j)
	}
}

func (s *server) report() core.LoadReport {
	return core.LoadReport{QueuedRequests: s.queue.Len(), Running: s.busy}
}
