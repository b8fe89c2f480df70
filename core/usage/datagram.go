package usage

import (
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
)

const (
	// MaxDatagramBytes bounds an encoded datagram. With the other fields of a packet it stays below the
	// 1,400 bytes that fit one Ethernet frame.
	MaxDatagramBytes = 1200
	// MaxClosed bounds the closed windows that one datagram states. They take at most 20 bytes each.
	MaxClosed = 2 * maxWindows
	// datagramFormat is the first byte of a datagram.
	datagramFormat = 1
	// minClosedBytes is the size of the smallest closed window in a datagram.
	minClosedBytes = 2
	// minEntryBytes is the size of the smallest entry in a datagram.
	minEntryBytes = organisationBytes + 1
	// maxGroupBytes is the size of the largest header of a group: a window and a number of entries.
	maxGroupBytes = binary.MaxVarintLen64 + 2
)

// ErrMalformed is the cause of all errors of decoders.
var ErrMalformed = errors.New("malformed usage counts")

// AppendEntries appends a datagram of at most MaxDatagramBytes to dst: a byte for the format, the closed
// windows with their totals, and then the entries in groups of one window. Each window is stated as the difference
// from the one before, which saves 4 bytes. Closed windows beyond MaxClosed
// are left out. It returns the entries that didn't fit, for further datagrams. It sorts entries.
func AppendEntries(dst []byte, closed []Closed, entries []Entry) (data []byte, rest []Entry) {
	sortEntries(entries)
	start := len(dst)
	dst = append(dst, datagramFormat)
	closed = closed[:min(len(closed), MaxClosed)]
	dst = binary.AppendUvarint(dst, uint64(len(closed)))
	last := uint64(0)
	for _, c := range closed {
		dst, last = appendWindow(dst, c.Window, last)
		dst = binary.AppendUvarint(dst, c.Total)
	}
	for len(entries) > 0 {
		n := fitting(entries, MaxDatagramBytes-(len(dst)-start)-maxGroupBytes)
		if n == 0 {
			break
		}
		dst, last = appendWindow(dst, entries[0].Window, last)
		dst = binary.AppendUvarint(dst, uint64(n))
		for _, e := range entries[:n] {
			dst = appendOrganisation(dst, e.Organisation)
			dst = binary.AppendUvarint(dst, uint64(e.Count))
		}
		entries = entries[n:]
	}
	return dst, entries
}

// fitting returns how many of the first entries are of one window and fit the given number of bytes.
func fitting(entries []Entry, space int) int {
	n := 0
	for n < len(entries) && entries[n].Window == entries[0].Window {
		space -= organisationBytes + uvarintBytes(uint64(entries[n].Count))
		if space < 0 {
			break
		}
		n++
	}
	return n
}

// Datagrams returns the datagrams that state the closed windows and the entries. Only the last one states the
// closed windows, so that they follow the counts unless datagrams are reordered. There is always one, also
// without entries. It sorts entries.
func Datagrams(closed []Closed, entries []Entry) [][]byte {
	var list [][]byte
	for {
		data, rest := AppendEntries(nil, closed, entries)
		if len(rest) == 0 {
			return append(list, data)
		}
		data, entries = AppendEntries(nil, nil, entries)
		list = append(list, data)
	}
}

// DecodeEntries decodes a datagram. It returns ErrMalformed for anything that AppendEntries can't have
// written, and takes memory in proportion to the datagram.
func DecodeEntries(data []byte) (closed []Closed, entries []Entry, err error) {
	if len(data) > MaxDatagramBytes {
		return nil, nil, errors.Wrapf(ErrMalformed, "datagram of %d bytes", len(data))
	}
	r := &reader{data: data}
	if format := r.byte(); format != datagramFormat {
		return nil, nil, errors.Wrapf(ErrMalformed, "datagram of format %d", format)
	}
	last := uint64(0)
	for range r.length(minClosedBytes, MaxClosed) {
		last = r.window(last)
		closed = append(closed, Closed{Window: last, Total: r.uvarint()})
	}
	for r.hasMore() {
		last = r.window(last)
		n := r.length(minEntryBytes, MaxDatagramBytes)
		if n == 0 {
			r.fail()
		}
		for range n {
			entries = append(entries, Entry{Window: last, Organisation: r.organisation(), Count: r.count()})
		}
	}
	if r.isFailed {
		return nil, nil, errors.Wrap(ErrMalformed, "datagram")
	}
	return closed, entries, nil
}

// appendWindow appends a window as the difference from the last one, and returns it as the next last one.
func appendWindow(dst []byte, window, last uint64) (data []byte, next uint64) {
	return binary.AppendVarint(dst, int64(window-last)), window
}

func appendOrganisation(dst []byte, organisation uint64) []byte {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], organisation)
	return append(dst, b[:organisationBytes]...)
}

func uvarintBytes(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}

// reader reads fields until the first malformed one, from which it returns zeros.
type reader struct {
	data     []byte
	isFailed bool
}

func (r *reader) fail() { r.data, r.isFailed = nil, true }

func (r *reader) hasMore() bool { return len(r.data) > 0 }

func (r *reader) byte() byte {
	if len(r.data) == 0 {
		r.fail()
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return v
}

// window reads a window that follows the last one.
func (r *reader) window(last uint64) uint64 {
	difference, n := binary.Varint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return last + uint64(difference)
}

// bounded reads a number of at most limit.
func (r *reader) bounded(limit uint64) uint64 {
	v := r.uvarint()
	if v > limit {
		r.fail()
		return 0
	}
	return v
}

// count reads a count, which is above 0.
func (r *reader) count() uint32 {
	v := r.bounded(math.MaxUint32)
	if v == 0 {
		r.fail()
	}
	return uint32(v)
}

// length reads the number of elements that follow, of which each takes at least the given number of bytes.
func (r *reader) length(elementBytes int, limit uint64) int {
	v := r.bounded(limit)
	if v > uint64(len(r.data)/elementBytes) {
		r.fail()
		return 0
	}
	return int(v)
}

func (r *reader) organisation() uint64 {
	if len(r.data) < organisationBytes {
		r.fail()
		return 0
	}
	var b [8]byte
	copy(b[:], r.data[:organisationBytes])
	r.data = r.data[organisationBytes:]
	return binary.LittleEndian.Uint64(b[:])
}
