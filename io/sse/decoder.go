package sse

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong reports an event over the decoder's limit.
var ErrTooLong = errors.New("server-sent event is too long")

// Event is one server-sent event or one comment. The slices are valid until the
// next call of Next.
type Event struct {
	// ID is the content of the id field, if the event has one.
	ID []byte
	// Name is the content of the event field.
	Name []byte
	// Data holds the data lines, joined by newlines.
	Data []byte
	// Comment marks a comment line, such as a heartbeat. It has no other fields.
	Comment bool
}

// Decoder reads server-sent events. Lines end with LF or CR LF.
type Decoder struct {
	reader *bufio.Reader
	limit  int
	id     []byte
	name   []byte
	data   []byte
	line   []byte
}

// decoderBuffer is the read buffer in bytes. It bounds the memory of a stream;
// longer lines are gathered in a buffer of their own.
const decoderBuffer = 1 << 10

// NewDecoder returns a decoder of events of at most limit bytes.
func NewDecoder(r io.Reader, limit int) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, decoderBuffer), limit: limit}
}

// Ready reports that a whole event is buffered, so that Next will not block.
func (d *Decoder) Ready() bool {
	buffered, err := d.reader.Peek(d.reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// Next reads the next event or comment into event. It returns io.EOF at a clean
// end between events and io.ErrUnexpectedEOF inside one.
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
		isData, err := d.field(line, hasData)
		if err != nil {
			return err
		}
		hasData = hasData || isData
	}
}

// field stores one "name: value" line and reports whether it was data.
func (d *Decoder) field(line []byte, hasData bool) (isData bool, err error) {
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

// readLine returns one line without its end. A last line without an end counts
// as cut.
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

func (d *Decoder) readLongLine(start []byte) ([]byte, error) {
	d.line = append(d.line[:0], start...)
	for {
		more, err := d.reader.ReadSlice('\n')
		if len(d.line)+len(more) > d.limit {
			return nil, ErrTooLong
		}
		d.line = append(d.line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return d.line, err
		}
	}
}
