package intake

import (
	"sync"
	"time"

	"gorseline/core"
)

const (
	// smallHold is the size in bytes up to which a request may use the whole budget. Most requests are smaller.
	smallHold = 64 << 10
	// smallShare is the share of the budget that is kept for them.
	smallShare = 1.0 / 16
	// releaseWait bounds the wait for the memory of a request that has been cut. It is given back as soon as its reader
	// runs.
	releaseWait = 250 * time.Millisecond
)

// Stats describe a budget.
type Stats struct {
	// Used is the number of bytes that are held, Limit how many may be.
	Used, Limit int64
	// Cut and Refused count the requests that had to make room and those that got none.
	Cut, Refused int64
}

// Budget is a core.IntakeBudget. It is safe for concurrent use.
type Budget struct {
	clock core.ClockProvider
	limit int64

	mu    sync.Mutex
	used  int64
	holds map[*hold]struct{} // the unfinished ones
	// leaving is the number of bytes of requests that have been cut and not closed yet.
	leaving      int64
	cut, refused int64
	// released is closed when bytes are given back. It is nil unless a request waits for that.
	released chan struct{}
}

var _ core.IntakeBudget = (*Budget)(nil)

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64, clock core.ClockProvider) *Budget {
	return &Budget{clock: clock, limit: limit, holds: map[*hold]struct{}{}}
}

// NewHold returns a hold without bytes.
func (b *Budget) NewHold(cut func()) core.IntakeHold {
	h := &hold{budget: b, cut: cut, progress: NewProgress(b.clock.Now())}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = struct{}{}
	return h
}

// Stats returns the present state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Used: b.used, Limit: b.limit, Cut: b.cut, Refused: b.refused}
}

// room returns how many more bytes a hold of a size may take. The lock must be held.
func (b *Budget) room(size int64) int64 {
	if size <= smallHold {
		return b.limit - b.used
	}
	return b.limit - int64(smallShare*float64(b.limit)) - b.used
}

// makeRoom cuts slow requests, the largest first, until the bytes of those that leave cover what a hold lacks. It returns false
// if they don't. The lock must be held.
func (b *Budget) makeRoom(h *hold, lacks int64) bool {
	for b.leaving < lacks {
		victim := b.largestSlow(h)
		if victim == nil || victim.bytes == 0 {
			return false
		}
		b.cutHold(victim)
	}
	return true
}

// cutHold ends an unfinished request. The lock must be held.
func (b *Budget) cutHold(h *hold) {
	delete(b.holds, h)
	h.isCut = true
	b.leaving += h.bytes
	b.cut++
	h.cut()
}

// CutSlow cuts the slow request that holds most, to free its connection. It returns false if no request is slow.
func (b *Budget) CutSlow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	victim := b.largestSlow(nil)
	if victim == nil {
		return false
	}
	b.cutHold(victim)
	return true
}

// largestSlow returns the slow request that holds most, or nil. The lock must be held.
func (b *Budget) largestSlow(except *hold) *hold {
	var largest *hold
	now := b.clock.Now()
	for h := range b.holds {
		if h != except && (largest == nil || h.bytes > largest.bytes) && h.progress.IsSlow(now) {
			largest = h
		}
	}
	return largest
}

// giveBack returns bytes of a hold. The lock must be held.
func (b *Budget) giveBack(h *hold, bytes int64) {
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	b.used -= bytes
	if h.isCut {
		b.leaving -= bytes
	}
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// hold is a core.IntakeHold. The budget's lock guards its fields.
type hold struct {
	budget   *Budget
	cut      func()
	bytes    int64
	progress Progress
	isCut    bool
	isClosed bool
}

// Reserve adds bytes.
func (h *hold) Reserve(bytes int64) bool {
	isReserved, released := h.tryReserve(bytes)
	if released == nil {
		return isReserved
	}
	timer := time.NewTimer(releaseWait)
	defer timer.Stop()
	for released != nil {
		select {
		case <-released:
			isReserved, released = h.tryReserve(bytes)
		case <-timer.C:
			h.budget.countRefused()
			return false
		}
	}
	return isReserved
}

// tryReserve adds bytes if there is room. If others have been cut to make room, it returns a channel that is closed when bytes
// have been given back.
func (h *hold) tryReserve(bytes int64) (isReserved bool, released <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isCut || h.isClosed {
		return false, nil
	}
	lacks := bytes - b.room(h.bytes+bytes)
	if lacks <= 0 {
		h.bytes += bytes
		b.used += bytes
		return true, nil
	}
	if !b.makeRoom(h, lacks) {
		b.refused++
		return false, nil
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return false, b.released
}

func (b *Budget) countRefused() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused++
}

// Release gives bytes back.
func (h *hold) Release(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.giveBack(h, bytes)
}

// RecordArrival notes bytes that have arrived.
func (h *hold) RecordArrival(bytes int64) {
	now := h.budget.clock.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = h.progress.WithArrival(now, bytes)
}

// IsCut reports whether the hold has been cut.
func (h *hold) IsCut() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isCut
}

// Finish ends the time in which the hold may be cut.
func (h *hold) Finish() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.holds, h)
	return !h.isCut
}

// Close gives all bytes back.
func (h *hold) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.isClosed = true
	delete(h.budget.holds, h)
	h.budget.giveBack(h, h.bytes)
}
