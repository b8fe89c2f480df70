package usage

import (
	"math"
	"slices"
	"sync"
	"time"

	"gorseline/core"
)

const (
	// maxWindows bounds the windows that are held. Windows of 5 s that are reported within 10 s after their
	// end need 4, windows of 1 s need 12, and clocks that disagree by some seconds need a few more on each
	// side.
	maxWindows = 32
	// CloseDelay is the time from the end of a window until it is closed. Requests that began in the window
	// are counted by then.
	CloseDelay = 300 * time.Millisecond
	// fullSends is how often all counts of a closed window are sent again. With 20% of the datagrams lost and
	// two, 2 of 20 senders had not completed a window after 3 s in a simulation.
	fullSends = 3
	// maxOrganisations bounds the organisations of a window at one instance. Names come from the
	// configuration, which has far fewer. Requests of others aren't counted.
	maxOrganisations = 1 << 14
)

// cell is the count of an organisation in a window.
type cell struct {
	// count is cumulative, sent is its value when Changed last returned it.
	count, sent uint32
}

// windowCells holds the counts of one window.
type windowCells struct {
	number uint64
	// cells holds the counts by the hash of the organisation's name.
	cells map[uint64]*cell
	total uint64
	// fullSends is how often all counts have been due since the window was closed.
	fullSends int
}

// Counter counts the requests that targets begin to run for this instance. It is safe for concurrent use.
type Counter struct {
	length time.Duration

	mu sync.Mutex
	// windows is in ascending order.
	windows []*windowCells
	// openFrom is the first window that is open, and keptFrom the first that isn't forgotten.
	openFrom, keptFrom uint64
}

// NewCounter returns a counter for windows of the given length, which must be positive.
func NewCounter(length time.Duration) *Counter { return &Counter{length: length} }

// Count counts a request that a target began to run at a true time. A request in a closed window is counted in
// the first open one: the counts of closed windows are final, and the request must not be lost. Requests
// without an organisation aren't counted. It allocates only for the first request of an organisation in a
// window.
func (c *Counter) Count(at time.Time, o core.Organisation) {
	if o == "" {
		return
	}
	number, hash := WindowAt(at, c.length), OrganisationHash(o)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.window(max(number, c.openFrom))
	counted, isKnown := w.cells[hash]
	if !isKnown {
		if len(w.cells) >= maxOrganisations {
			return
		}
		counted = &cell{}
		w.cells[hash] = counted
	}
	if counted.count < math.MaxUint32 {
		counted.count++
		w.total++
	}
}

// window returns a window and adds it if it is new. With maxWindows already, it forgets the oldest one, or
// returns that if the new one is older still. The lock must be held.
func (c *Counter) window(number uint64) *windowCells {
	for i := len(c.windows) - 1; i >= 0; i-- {
		if c.windows[i].number == number {
			return c.windows[i]
		}
	}
	if len(c.windows) >= maxWindows {
		if number < c.windows[0].number {
			return c.windows[0]
		}
		c.forget(c.windows[0].number + 1)
	}
	w := &windowCells{number: number, cells: make(map[uint64]*cell)}
	i, _ := slices.BinarySearchFunc(c.windows, number, compareNumber)
	c.windows = slices.Insert(c.windows, i, w)
	return w
}

func compareNumber(w *windowCells, number uint64) int {
	if w.number < number {
		return -1
	}
	if w.number > number {
		return 1
	}
	return 0
}

// Due closes the windows that ended CloseDelay before the given true time, and returns what is to be sent then:
// all closed windows, the counts that have changed, and all counts of the windows that were closed recently.
// It is called every 300 ms. Its first calls after a window was closed return all counts of that window,
// fullSends times; the statement that it is closed is repeated until Forget, since any datagram may be lost.
func (c *Counter) Due(now time.Time) (closed []Closed, entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFrom = max(c.openFrom, WindowAt(now.Add(-CloseDelay), c.length))
	for _, w := range c.windows {
		if w.number >= c.openFrom || w.fullSends >= fullSends {
			entries = w.appendChanged(entries)
			continue
		}
		w.fullSends++
		for _, counted := range w.cells {
			counted.sent = counted.count
		}
		entries = w.appendAll(entries)
	}
	sortEntries(entries)
	return c.closed(), entries
}

// Changed returns the cumulative counts that have changed since the last call of Changed or Due.
func (c *Counter) Changed() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []Entry
	for _, w := range c.windows {
		entries = w.appendChanged(entries)
	}
	sortEntries(entries)
	return entries
}

// appendChanged appends the counts that have changed since the last time. The lock must be held.
func (w *windowCells) appendChanged(entries []Entry) []Entry {
	for hash, counted := range w.cells {
		if counted.count == counted.sent {
			continue
		}
		counted.sent = counted.count
		entries = append(entries, Entry{w.number, hash, counted.count})
	}
	return entries
}

// appendAll appends all counts of the window. The lock must be held.
func (w *windowCells) appendAll(entries []Entry) []Entry {
	for hash, counted := range w.cells {
		entries = append(entries, Entry{w.number, hash, counted.count})
	}
	return entries
}

// Open returns all counts of the windows that aren't closed, for a receiver that has missed earlier ones.
func (c *Counter) Open() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []Entry
	for _, w := range c.windows {
		if w.number >= c.openFrom {
			entries = w.appendAll(entries)
		}
	}
	sortEntries(entries)
	return entries
}

// Window returns all counts of a window, which its sender sends again when it has closed the window.
func (c *Counter) Window(number uint64) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, isKnown := slices.BinarySearchFunc(c.windows, number, compareNumber)
	if !isKnown {
		return nil
	}
	entries := c.windows[i].appendAll(nil)
	sortEntries(entries)
	return entries
}

// Close makes the counts of all windows below the given number final.
func (c *Counter) Close(before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFrom = max(c.openFrom, before)
}

// Closed returns the closed windows that aren't forgotten, at most maxWindows, in ascending order. Windows
// without requests are among them with a total of 0. Each datagram states them, since any may be lost.
func (c *Counter) Closed() []Closed {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed()
}

// closed returns the closed windows that aren't forgotten. The lock must be held.
func (c *Counter) closed() []Closed {
	var list []Closed
	first := max(c.keptFrom, c.openFrom-min(c.openFrom, maxWindows))
	for number := first; number < c.openFrom; number++ {
		closed := Closed{Window: number}
		if i, isKnown := slices.BinarySearchFunc(c.windows, number, compareNumber); isKnown {
			closed.Total = c.windows[i].total
		}
		list = append(list, closed)
	}
	return list
}

// Forget closes and drops all windows below the given number.
func (c *Counter) Forget(before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(before)
}

// forget closes and drops windows. The lock must be held.
func (c *Counter) forget(before uint64) {
	c.keptFrom = max(c.keptFrom, before)
	c.openFrom = max(c.openFrom, before)
	c.windows = slices.DeleteFunc(c.windows, func(w *windowCells) bool { return w.number < c.keptFrom })
}
