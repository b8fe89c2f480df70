package usage

import (
	"encoding/base64"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
)

const (
	// MaxRowBytes bounds the base64 text of a row. 100 instances with 76 organisations need about 30 KiB for
	// each open window.
	MaxRowBytes = 64 << 10
	maxRowData  = MaxRowBytes / 4 * 3
	// rowFormat is the first byte of a row.
	rowFormat = 1
	// minCountBytes is the size of the smallest count in a row: an index of the organisation and the count.
	minCountBytes = 2
	// senderBytes is the size of a sender's ID.
	senderBytes = 4
)

// Kinds of items in a row. Each begins with its kind and a window.
const (
	// itemSender holds a sender, 0 or 1 + its closed total, and its counts.
	itemSender = 1
	// itemMerged holds a list of merged senders and their summed counts.
	itemMerged = 2
)

// Row is the encoded content of a collector.
type Row struct {
	// Text is base64 of at most MaxRowBytes.
	Text string
	// Omitted is the number of senders in a window whose counts didn't fit. They are lost if this holder
	// and the sender stop before the window is closed.
	Omitted int
	// Revision is the collector's revision at the time.
	Revision uint64
}

// Row encodes all windows for the store. If they exceed MaxRowBytes, the senders that are complete are merged
// into one anonymous sender in each window; if that isn't enough, those that aren't live as well. Then the
// counts of senders that don't fit are omitted, mostly of the newest windows: a live sender sends these again when it closes
// the window. The collector itself isn't changed.
func (c *Collector) Row(live []uint32) Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	isLive := make(map[uint32]bool, len(live))
	for _, sender := range live {
		isLive[sender] = true
	}
	mergers := []func(uint32, *senderCounts) bool{
		func(uint32, *senderCounts) bool { return false },
		func(_ uint32, s *senderCounts) bool { return s.isComplete() },
		func(sender uint32, s *senderCounts) bool { return s.isComplete() || !isLive[sender] },
	}
	var row Row
	for _, isMerged := range mergers {
		row = c.row(isMerged)
		if row.Omitted == 0 {
			break
		}
	}
	return row
}

// row encodes all windows, with the chosen senders merged. The lock must be held.
func (c *Collector) row(isMerged func(uint32, *senderCounts) bool) Row {
	w := newRowWriter()
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		window := c.windows[number]
		m := window.mergedWith(isMerged)
		if m != nil {
			w.merged(number, m)
		}
		for _, sender := range slices.Sorted(maps.Keys(window.senders)) {
			if s := window.senders[sender]; !isMerged(sender, s) {
				w.sender(number, sender, s)
			}
		}
	}
	return Row{Text: base64.StdEncoding.EncodeToString(w.bytes()), Omitted: w.omitted, Revision: c.revision}
}

// mergedWith returns the window's anonymous sender with further senders merged, or nil if there is none.
func (w *windowCounts) mergedWith(isMerged func(uint32, *senderCounts) bool) *merged {
	m := &merged{counts: make(map[uint64]uint64), senders: make(map[uint32]struct{})}
	if w.merged != nil {
		m.counts, m.senders = maps.Clone(w.merged.counts), maps.Clone(w.merged.senders)
	}
	for sender, s := range w.senders {
		if !isMerged(sender, s) {
			continue
		}
		m.senders[sender] = struct{}{}
		for organisation, count := range s.counts {
			m.counts[organisation] += uint64(count)
		}
	}
	if len(m.senders) == 0 {
		return nil
	}
	return m
}

// rowWriter encodes a row: a list of organisations, which counts refer to by index, and a list of items.
type rowWriter struct {
	organisations []byte
	indexes       map[uint64]int
	items         []byte
	omitted       int
}

func newRowWriter() *rowWriter { return &rowWriter{indexes: make(map[uint64]int)} }

// bytes returns the row.
func (w *rowWriter) bytes() []byte {
	data := binary.AppendUvarint([]byte{rowFormat}, uint64(len(w.indexes)))
	data = append(data, w.organisations...)
	return append(data, w.items...)
}

// item adds an item that write appends, or omits it if it doesn't fit.
func (w *rowWriter) item(kind byte, window uint64, write func()) (ok bool) {
	organisations, items := len(w.organisations), len(w.items)
	w.items = binary.AppendUvarint(append(w.items, kind), window)
	write()
	if 1+binary.MaxVarintLen32+len(w.organisations)+len(w.items) <= maxRowData {
		return true
	}
	for i := organisations; i < len(w.organisations); i += organisationBytes {
		r := reader{data: w.organisations[i:]}
		delete(w.indexes, r.organisation())
	}
	w.organisations, w.items = w.organisations[:organisations], w.items[:items]
	return false
}

func (w *rowWriter) sender(window uint64, sender uint32, s *senderCounts) {
	state := uint64(0)
	if s.isClosed {
		state = 1 + min(s.closedTotal, math.MaxUint64-1)
	}
	ok := w.item(itemSender, window, func() {
		w.items = binary.LittleEndian.AppendUint32(w.items, sender)
		w.items = binary.AppendUvarint(w.items, state)
		writeCounts(w, s.counts)
	})
	if !ok {
		w.omitted++
	}
}

func (w *rowWriter) merged(window uint64, m *merged) {
	ok := w.item(itemMerged, window, func() {
		w.items = binary.AppendUvarint(w.items, uint64(len(m.senders)))
		for _, sender := range slices.Sorted(maps.Keys(m.senders)) {
			w.items = binary.LittleEndian.AppendUint32(w.items, sender)
		}
		writeCounts(w, m.counts)
	})
	if !ok {
		w.omitted += len(m.senders)
	}
}

func writeCounts[C uint32 | uint64](w *rowWriter, counts map[uint64]C) {
	w.items = binary.AppendUvarint(w.items, uint64(len(counts)))
	for _, organisation := range slices.Sorted(maps.Keys(counts)) {
		index, isKnown := w.indexes[organisation]
		if !isKnown {
			index = len(w.indexes)
			w.indexes[organisation] = index
			w.organisations = appendOrganisation(w.organisations, organisation)
		}
		w.items = binary.AppendUvarint(w.items, uint64(index))
		w.items = binary.AppendUvarint(w.items, uint64(counts[organisation]))
	}
}

// rowItem is a decoded item, with sender counts or a merged sender.
type rowItem struct {
	window uint64
	sender uint32
	counts *senderCounts
	merged *merged
}

// decodeRow decodes the text of a row.
func decodeRow(text string) ([]rowItem, error) {
	if len(text) > MaxRowBytes {
		return nil, errors.Wrapf(ErrMalformed, "row of %d bytes", len(text))
	}
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "row: %v", err)
	}
	r := &reader{data: data}
	if format := r.byte(); format != rowFormat {
		return nil, errors.Wrapf(ErrMalformed, "row of format %d", format)
	}
	organisations := make([]uint64, r.length(organisationBytes, maxRowData))
	for i := range organisations {
		organisations[i] = r.organisation()
	}
	var items []rowItem
	for r.hasMore() {
		items = append(items, r.item(organisations))
	}
	if r.isFailed {
		return nil, errors.Wrap(ErrMalformed, "row")
	}
	return items, nil
}

// item reads an item.
func (r *reader) item(organisations []uint64) rowItem {
	kind := r.byte()
	item := rowItem{window: r.uvarint()}
	switch kind {
	case itemSender:
		item.sender = r.sender()
		state := r.uvarint()
		item.counts = &senderCounts{counts: make(map[uint64]uint32), isClosed: state > 0, closedTotal: max(state, 1) - 1}
		r.counts(organisations, math.MaxUint32, func(organisation, count uint64) {
			item.counts.counts[organisation] = uint32(count)
		})
	case itemMerged:
		item.merged = &merged{counts: make(map[uint64]uint64), senders: make(map[uint32]struct{})}
		for range r.length(senderBytes, maxRowData) {
			item.merged.senders[r.sender()] = struct{}{}
		}
		if len(item.merged.senders) == 0 {
			r.fail()
		}
		r.counts(organisations, math.MaxInt64/maxRowData, func(organisation, count uint64) {
			item.merged.counts[organisation] = count
		})
	default:
		r.fail()
	}
	return item
}

func (r *reader) sender() uint32 {
	if len(r.data) < senderBytes {
		r.fail()
		return 0
	}
	sender := binary.LittleEndian.Uint32(r.data)
	r.data = r.data[senderBytes:]
	return sender
}

// counts reads a list of counts of at most limit, and passes each to add.
func (r *reader) counts(organisations []uint64, limit uint64, add func(organisation, count uint64)) {
	for range r.length(minCountBytes, maxRowData) {
		index, count := r.uvarint(), r.bounded(limit)
		if index >= uint64(len(organisations)) {
			r.fail()
			return
		}
		add(organisations[index], count)
	}
}

// Restore merges a row that Row has encoded, possibly at another holder. Reading a row again changes nothing.
// It returns ErrMalformed, and changes nothing, for anything else.
func (c *Collector) Restore(text string) error {
	items, err := decodeRow(text)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, item := range items {
		if item.merged != nil {
			c.restoreMerged(item.window, item.merged)
		}
	}
	for _, item := range items {
		if item.merged == nil {
			c.restoreSender(item)
		}
	}
	return nil
}

// restoreSender merges the counts of a sender. The lock must be held.
func (c *Collector) restoreSender(item rowItem) {
	for organisation, count := range item.counts.counts {
		c.add(item.sender, Entry{Window: item.window, Organisation: organisation, Count: count})
	}
	if !item.counts.isClosed {
		return
	}
	if s := c.sender(item.sender, item.window); s != nil && (!s.isClosed || s.closedTotal < item.counts.closedTotal) {
		s.isClosed, s.closedTotal = true, item.counts.closedTotal
		c.revision++
	}
}

// restoreMerged takes an anonymous sender in place of the senders that it contains. If there is another one
// already, the one with the higher total or else more senders is kept, since a sender may be part of both. The
// lock must be held.
func (c *Collector) restoreMerged(number uint64, m *merged) {
	if number < c.first {
		return
	}
	if number-c.first >= maxWindows || c.entries+len(m.counts) > maxEntries {
		c.refused++
		return
	}
	w := c.window(number)
	if w.merged != nil && !m.exceeds(w.merged) {
		return
	}
	before := w.entries()
	for sender := range m.senders {
		delete(w.senders, sender)
	}
	w.merged = m
	c.entries += w.entries() - before
	c.revision++
}
