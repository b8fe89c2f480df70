package scaling

import (
	"time"

	"gorseline/core"
)

// slot tracks the servers of one kind in one data centre and the last order for them.
type slot struct {
	Servers
	// last is the last order, previous the one before if that was accepted.
	last, previous sentOrder
	// accepted is the number that the platform accepted last, or the greatest number listed since,
	// which another holder may have ordered. It counts towards Max even if the
	// servers haven't booted or were taken away.
	accepted int
	// isAwaiting is set from an order to its result, isLost if it must be repeated.
	isAwaiting, isLost bool
	// loweredAt is when the last order to lower the number was made, if hasLowered is set.
	loweredAt  core.Instant
	hasLowered bool
	// pausedUntil is the end of the pause after a refusal for lack of servers, pause its
	// length; 0 if the last attempt succeeded.
	pausedUntil core.Instant
	pause       time.Duration
	// heldReady is the number that was ready at heldAt, the last time that it wasn't lower.
	heldReady int
	heldAt    core.Instant
	// isReclaimed is set while the listed servers are being taken away.
	isReclaimed bool
}

// sentOrder is an order that isn't fully visible in the list yet.
type sentOrder struct {
	desired int
	at      core.Instant
	isOpen  bool
}

// update takes over the listed servers and ends orders that took effect or were lost.
func (s *slot) update(now core.Instant, listed Servers, bootTime time.Duration, options *Options) {
	s.Servers = listed
	if s.isAwaiting && now.Sub(s.last.at) > options.AnswerTime {
		s.isAwaiting, s.isLost = false, true
	}
	if !s.isAwaiting && !s.isLost && s.hasExpired(s.last, now, bootTime, options) {
		if s.last.desired > s.Ready {
			// Ordered servers that don't boot are treated as if there were none.
			s.beginPause(now, options)
		}
		s.last = sentOrder{}
	}
	if s.hasExpired(s.previous, now, bootTime, options) {
		s.previous = sentOrder{}
	}
	if !s.last.isOpen {
		s.accepted = max(s.accepted, s.Ready)
	}
	if s.Ready >= s.heldReady || now.Sub(s.heldAt) > options.ListDelay {
		s.heldReady, s.heldAt = s.Ready, now
	}
	wasReclaimed := s.isReclaimed
	s.isReclaimed = s.isTakenAway(now, options)
	if s.isReclaimed && !wasReclaimed {
		// Servers that were booting go as well.
		s.last, s.previous = sentOrder{}, sentOrder{}
		s.isAwaiting, s.isLost = false, false
		s.heldReady = s.Ready
		s.beginPause(now, options)
	}
}

// hasExpired reports whether an order should be visible in the list by now.
func (s *slot) hasExpired(o sentOrder, now core.Instant, bootTime time.Duration, options *Options) bool {
	limit := options.ListDelay
	if o.desired > s.Ready {
		limit = bootTime + options.BootMargin
	}
	return o.isOpen && now.Sub(o.at) > limit
}

// isTakenAway reports whether the listed servers leave at the platform's will.
func (s *slot) isTakenAway(now core.Instant, options *Options) bool {
	if s.Leaving == 0 || s.LeastLeft <= 0 || s.LeastLeft > options.NoticeTime {
		return false
	}
	wasLowered := s.hasLowered && now.Sub(s.loweredAt) < options.DrainTime
	return !wasLowered || s.Ready == 0
}

// current returns the number of servers once the last order has taken effect. Servers that are
// missing from the list for a short time without notice still count, since an order for the
// listed number would drain them.
func (s *slot) current() int {
	if s.last.isOpen {
		return s.last.desired
	}
	return max(s.Ready, s.heldReady)
}

// secured returns the number of servers that are ready and haven't been ordered down.
func (s *slot) secured() int {
	return min(s.Ready, s.current())
}

// most returns the greatest number that may be in effect: an order without an answer may not have
// taken effect yet.
func (s *slot) most() int {
	if !s.isAwaiting && !s.isLost {
		return max(s.current(), s.accepted)
	}
	return max(s.current(), s.accepted, s.Ready, s.previous.desired)
}

// isPaused reports whether no more servers are ordered at present.
func (s *slot) isPaused(now core.Instant) bool {
	return now < s.pausedUntil
}

// beginPause starts a pause, twice as long as the one before.
func (s *slot) beginPause(now core.Instant, options *Options) {
	s.pause = min(max(options.PauseTime, 2*s.pause), options.MaxPauseTime)
	s.pausedUntil = now.Add(s.pause)
}

// order records an order that is about to be sent.
func (s *slot) order(now core.Instant, desired int) {
	if desired < s.current() {
		s.loweredAt, s.hasLowered = now, true
	}
	if !s.isLost {
		s.previous = s.last
	}
	s.last = sentOrder{desired: desired, at: now, isOpen: true}
	s.isAwaiting, s.isLost = true, false
	s.heldReady = 0
}

// result records the result of the last order.
func (s *slot) result(now core.Instant, result core.DutyResult, options *Options) {
	s.isAwaiting = false
	switch result {
	case core.DutyAccepted:
		s.accepted = s.last.desired
		if s.last.desired > s.Ready {
			s.pause = 0
		}
	case core.DutyUnavailable:
		s.last, s.previous = s.previous, sentOrder{}
		s.beginPause(now, options)
	default:
		s.isLost = true
	}
}
