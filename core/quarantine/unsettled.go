package quarantine

import (
	"slices"
	"time"

	"gorseline/core"
)

const (
	// settleTime is how long a process must last after a complete answer to have survived the request:
	// what crashes it may take effect when the answer has been written.
	settleTime = 100 * time.Millisecond
	// MaxSettleTime is the time after which it is known whether a request was survived.
	MaxSettleTime = settleTime + aliveTime
	// maxUnsettled bounds the unsettled runs. The oldest one is settled early.
	maxUnsettled = 1024
	// maxLossesAfterEnd bounds the unsettled runs that count as lost at a time, so that the crash of a
	// busy target causes few reports. The latest ones count.
	maxLossesAfterEnd = 4
)

// unsettledRun is a run whose answer is complete but whose process may still end because of it.
type unsettledRun struct {
	ownRun
	// isOpen is set if the answer ended with its connection, so that its target may have ended then.
	isOpen bool
	// isLost is set if a loss of the process was reported at lostAt.
	isLost bool
	lostAt core.Instant
}

// dueAt returns when the run is settled. It takes until then whether a lost process answers again, so that
// only a connection ended.
func (u *unsettledRun) dueAt() core.Instant {
	if u.isLost {
		return u.lostAt.Add(aliveTime)
	}
	return u.at.Add(settleTime)
}

// markLost marks the unsettled runs of a process that was reported lost.
func (s *Suspects) markLost(now core.Instant, process uint64) {
	for i := range s.unsettled {
		if u := &s.unsettled[i]; u.process == process && !u.isLost {
			u.isLost, u.lostAt = true, now
		}
	}
}

// settle settles the runs that are due.
func (s *Suspects) settle(now core.Instant) {
	s.unsettled = slices.DeleteFunc(s.unsettled, func(u unsettledRun) bool {
		isDue := now >= u.dueAt()
		if isDue {
			s.settleRun(&u)
		}
		return isDue
	})
}

// settleRun counts a run as survived or lost. If the end of its answer can't be told from that of its
// target, that must have answered a later request to have survived.
func (s *Suspects) settleRun(u *unsettledRun) {
	switch {
	case u.isLost && !s.hasAnsweredSince(u.process, u.lostAt):
		if len(s.lostAfterEnd) == maxLossesAfterEnd {
			s.lostAfterEnd = slices.Delete(s.lostAfterEnd, 0, 1)
		}
		s.lostAfterEnd = append(s.lostAfterEnd, u.ownRun)
	case u.isOpen && !s.hasAnsweredSince(u.process, u.at):
	default:
		s.countSurvived(u)
	}
}

// hasAnsweredSince reports whether a process has answered a request that was sent after a time.
func (s *Suspects) hasAnsweredSince(process uint64, at core.Instant) bool {
	answered, ok := s.answered.Peek(process)
	return ok && answered > at
}

func (s *Suspects) countSurvived(u *unsettledRun) {
	for _, t := range u.traits {
		known, _ := s.survivals[t.Kind].Get(t.ID)
		if known.count > 0 && u.at.Sub(known.latest) > evidenceTime {
			known.count = 0
		}
		s.survivals[t.Kind].Add(t.ID, survivals{known.count + 1, max(known.latest, u.at)})
	}
}

// LossesAfterEnd returns the reports of the runs that ended with a complete answer shortly before their
// process was lost, once each.
func (s *Suspects) LossesAfterEnd(now core.Instant) []Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(now)
	var losses []Loss
	for i := range s.lostAfterEnd {
		run := &s.lostAfterEnd[i]
		run.stage, run.at = afterEnd, now
		run.traits = s.suspectTraits(now, run.traits)
		losses = append(losses, s.newLoss(now, run))
	}
	s.lostAfterEnd = nil
	return losses
}
