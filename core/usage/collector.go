package usage

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

const (
	// maxSenders bounds the senders of a window: about ten times the instances of the largest fleet, since
	// each start of a process is another sender.
	maxSenders = 1024
	// maxEntries bounds the counts in a collector, at about 40 bytes each. 100 instances and 300
	// organisations have 240,000 in eight windows.
	maxEntries = 1 << 18
)

// senderCounts holds the counts of one sender in one window.
type senderCounts struct {
	counts map[uint64]uint32
	// total is the sum of counts. isClosed is set if the sender has closed the window with closedTotal.
	total, closedTotal uint64
	isClosed           bool
}

// isComplete reports whether no count of the sender is missing.
func (s *senderCounts) isComplete() bool { return s.isClosed && s.total >= s.closedTotal }

// merged is the anonymous sender of a window: the summed counts of senders that are complete or have died.
// Further counts of these senders are ignored, so that none of them is counted twice. It isn't modified once
// it is in a collector.
type merged struct {
	counts  map[uint64]uint64
	senders map[uint32]struct{}
}

// total returns the sum of all counts.
func (m *merged) total() uint64 {
	total := uint64(0)
	for _, count := range m.counts {
		total += count
	}
	return total
}

// exceeds reports whether m has a higher total than other, or the same and more senders.
func (m *merged) exceeds(other *merged) bool {
	return cmp.Or(cmp.Compare(m.total(), other.total()), cmp.Compare(len(m.senders), len(other.senders))) > 0
}

// windowCounts holds the counts of one window.
type windowCounts struct {
	senders map[uint32]*senderCounts
	// merged is nil unless it was read from a row.
	merged *merged
}

func (w *windowCounts) isMerged(sender uint32) bool {
	if w.merged == nil {
		return false
	}
	_, isMerged := w.merged.senders[sender]
	return isMerged
}

// entries returns the number of counts that are held.
func (w *windowCounts) entries() int {
	n := 0
	for _, s := range w.senders {
		n += len(s.counts)
	}
	if w.merged != nil {
		n += len(w.merged.counts)
	}
	return n
}

// Collector merges the counts of all senders. It accepts the windows from the number that Forget was last
// called with and ignores others, so that its memory is bounded whatever datagrams state. It is safe for
// concurrent use.
type Collector struct {
	mu      sync.Mutex
	first   uint64
	windows map[uint64]*windowCounts
	// entries is the number of counts in all windows.
	entries int
	// revision changes with each change of the content, refused counts what exceeded a bound.
	revision, refused uint64
}

// NewCollector returns an empty collector, which accepts windows from the given number.
func NewCollector(first uint64) *Collector {
	return &Collector{first: first, windows: make(map[uint64]*windowCounts)}
}

// Add merges the cumulative counts of a sender. Datagrams may be repeated and reordered: the highest count of
// each window and organisation is kept.
func (c *Collector) Add(sender uint32, entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		c.add(sender, e)
	}
}

// add merges one count. The lock must be held.
func (c *Collector) add(sender uint32, e Entry) {
	s := c.sender(sender, e.Window)
	if s == nil {
		return
	}
	last, isKnown := s.counts[e.Organisation]
	if e.Count <= last {
		return
	}
	if !isKnown {
		if c.entries >= maxEntries {
			c.refused++
			return
		}
		c.entries++
	}
	s.counts[e.Organisation] = e.Count
	s.total += uint64(e.Count - last)
	c.revision++
}

// Complete records that a sender has closed a window. The sender is missing until its counts reach the total
// that it states.
func (c *Collector) Complete(sender uint32, closed Closed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sender(sender, closed.Window)
	if s == nil || s.isClosed && s.closedTotal >= closed.Total {
		return
	}
	s.isClosed, s.closedTotal = true, closed.Total
	c.revision++
}

// sender returns the counts of a sender in a window, and adds them if they are new. It returns nil if the
// window isn't accepted, or if the sender is merged. The lock must be held.
func (c *Collector) sender(sender uint32, window uint64) *senderCounts {
	if window < c.first {
		return nil
	}
	if window-c.first >= maxWindows {
		c.refused++
		return nil
	}
	w := c.window(window)
	if w.isMerged(sender) {
		return nil
	}
	s := w.senders[sender]
	if s != nil {
		return s
	}
	if len(w.senders) >= maxSenders {
		c.refused++
		return nil
	}
	s = &senderCounts{counts: make(map[uint64]uint32)}
	w.senders[sender] = s
	return s
}

// window returns an accepted window, and adds it if it is new. The lock must be held.
func (c *Collector) window(number uint64) *windowCounts {
	w := c.windows[number]
	if w == nil {
		w = &windowCounts{senders: make(map[uint32]*senderCounts)}
		c.windows[number] = w
	}
	return w
}

// Total returns the counts of all senders in a window, by the hash of the organisation's name.
func (c *Collector) Total(window uint64) map[uint64]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := make(map[uint64]int)
	w := c.windows[window]
	if w == nil {
		return total
	}
	for _, s := range w.senders {
		for organisation, count := range s.counts {
			total[organisation] += int(count)
		}
	}
	if w.merged != nil {
		for organisation, count := range w.merged.counts {
			total[organisation] += int(count)
		}
	}
	return total
}

// Missing returns those of the live senders whose counts in a window aren't known to be complete, in the order
// of live.
func (c *Collector) Missing(window uint64, live []uint32) []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.windows[window]
	if w == nil {
		return slices.Clone(live)
	}
	var missing []uint32
	for _, sender := range live {
		if s := w.senders[sender]; (s == nil || !s.isComplete()) && !w.isMerged(sender) {
			missing = append(missing, sender)
		}
	}
	return missing
}

// Windows returns the numbers of the windows that have senders, in ascending order.
func (c *Collector) Windows() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.windows))
}

// Forget drops all windows below the given number and accepts the maxWindows windows from there. All instances
// that collect call it for windows that are reported or out of time.
func (c *Collector) Forget(before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = max(c.first, before)
	for number, w := range c.windows {
		if number < c.first {
			c.entries -= w.entries()
			delete(c.windows, number)
			c.revision++
		}
	}
}

// Revision returns a number that changes with the content. The row needs to be written if it has changed.
func (c *Collector) Revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Refused returns how many counts and senders have exceeded a bound, for logs and metrics.
func (c *Collector) Refused() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}
