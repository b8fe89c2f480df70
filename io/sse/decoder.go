package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong reports an event that exceeds the limit of the decoder.
var ErrTooLong = errors.New("server-sent event is too long")

// Event is one server-sent event or one comment. The slices are valid until the
// next call of Next.
type Event struct {
	// ID is the content of the id field; it is empty if there is none.
	ID []byte
	// Name is the content of the event field; it is empty if there is none.
	Name []byte
	// Data holds the data lines, joined by newlines.
	Data []byte
	// Comment marks a comment line, such as a heartbeat. It has no other fields.
	Comment bool
}

// Decoder reads server-sent events. Lines end with LF or CR LF.
type Decoder struct {
	reader   *bufio.Reader
	limit    int
	id       []byte
	name     []byte
	data     []byte
	longLine []byte
}

// decoderBufferSize is the size of the read buffer in bytes. It is small because each
// stream has one. Longer lines are read into a separate buffer.
const decoderBufferSize = 1 << 10

// NewDecoder returns a decoder of events of at most limit bytes. The limit applies to each
// line and to the data of an event.
func NewDecoder(r io.Reader, limit int) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, decoderBufferSize), limit: limit}
}

// Ready reports whether a whole event is buffered, so that Next will not block.
func (d *Decoder) Ready() bool {
	buffered, err := d.reader.Peek(d.reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// Next reads the next event or comment into event. It returns io.EOF if the input ends
// between events and io.ErrUnexpectedEOF if it ends inside one.
func (d *Decoder) Next(event *Event) error {
	*event = Event{}
	d.id, d.name, d.data = d.id[:0], d.name[:0], d.data[:0]
	hasData, started := false, false
	for {
		line, err := d.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && started {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if len(line) == 0 {
			if !started {
				continue
			}
			if !hasData && len(d.id) == 0 && len(d.name) == 0 {
				started = false
				continue
			}
			event.ID, event.Name, event.Data = d.id, d.name, d.data
			return nil
		}
		if line[0] == ':' {
			if !started {
				event.Comment = true
				return nil
			}
			continue
		}
		started = true
		isData, err := d.parseField(line, hasData)
		if err != nil {
			return err
		}
		hasData = hasData || isData
	}
}

// parseField stores the value of one "name: value" line and reports whether it is data.
func (d *Decoder) parseField(line []byte, hasData bool) (isData bool, err error) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		d.id = append(d.id[:0], value...)
	case "event":
		d.name = append(d.name[:0], value...)
	case "data":
		if hasData {
			d.data = append(d.data, '\n')
		}
		if len(d.data)+len(value) > d.limit {
			return false, ErrTooLong
		}
		d.data = append(d.data, value...)
		return true, nil
	}
	return false, nil
}

// readLine returns one line without its line ending. It returns io.ErrUnexpectedEOF for a
// last line without one.
func (d *Decoder) readLine() ([]byte, error) {
	line, err := d.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = d.readLongLine(line)
	}
	if err != nil {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
}

// readLongLine reads the rest of a line that exceeds the read buffer.
func (d *Decoder) readLongLine(start []byte) ([]byte, error) {
	d.longLine = append(d.longLine[:0], start...)
	for {
		more, err := d.reader.ReadSlice('\n')
		if len(d.longLine)+len(more) > d.limit {
			return nil, ErrTooLong
		}
		d.longLine = append(d.longLine, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return d.longLine, err
		}
	}
}
