package forward

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"gorseline/core"
)

const (
	// maxInitialBuffer bounds the bytes that are allocated for a body before any of it has
	// arrived.
	maxInitialBuffer = 64 << 10
	// firstSegment is the length in bytes of the first segment of a caller's body. Callers may announce a body and send none,
	// so that it is small; most bodies fit into two.
	firstSegment = 4 << 10
	// maxSegment bounds the length in bytes of a segment.
	maxSegment = 256 << 10
)

// readAll reads a body to its end. length is its declared length; it is negative if
// unknown.
func readAll(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 {
		// The extra room lets ReadFrom reach the end without growing the buffer.
		buffer.Grow(int(min(length, maxInitialBuffer)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}

// errMemoryShort reports a body that was given up because callers hold too much memory.
var errMemoryShort = errors.New("memory is short")

// segments are the parts of a body that is arriving. What has been allocated is reserved in the hold.
type segments struct {
	hold core.IntakeHold
	// list holds the segments, of which only the last one may have room. size is the number of bytes that have arrived.
	list [][]byte
	size int64
}

// readBody reads a caller's body to its end. length is its declared length; it is negative if unknown. The error is
// errMemoryShort if the hold can't take it.
func readBody(body io.Reader, length int64, hold core.IntakeHold) ([]byte, error) {
	s := segments{hold: hold}
	for {
		n, err := s.read(body, length)
		s.size += int64(n)
		hold.RecordArrival(int64(n))
		if errors.Is(err, io.EOF) {
			return s.join(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// read reads into the last segment, or into a new one if that is full.
func (s *segments) read(body io.Reader, length int64) (int, error) {
	if s.size == length {
		var end [1]byte // a body of the declared length ends here
		return body.Read(end[:])
	}
	if last := len(s.list) - 1; last < 0 || len(s.list[last]) == cap(s.list[last]) {
		if err := s.grow(length); err != nil {
			return 0, err
		}
	}
	segment := &s.list[len(s.list)-1]
	n, err := body.Read((*segment)[len(*segment):cap(*segment)])
	*segment = (*segment)[:len(*segment)+n]
	return n, err
}

// grow adds a segment that is as long as what has arrived, within its bounds and the declared length.
func (s *segments) grow(length int64) error {
	size := min(max(s.size, firstSegment), maxSegment)
	if length > 0 {
		size = min(size, length-s.size)
	}
	if !s.hold.Reserve(size) {
		return errMemoryShort
	}
	s.list = append(s.list, make([]byte, 0, size))
	return nil
}

// joining is held while a body is joined, so that only one is held twice.
var joining sync.Mutex

// join returns the body in one piece of its length.
func (s *segments) join() []byte {
	if len(s.list) == 0 {
		return nil
	}
	if first := s.list[0]; len(s.list) == 1 && len(first) == cap(first) {
		return first
	}
	joining.Lock()
	defer joining.Unlock()
	reserved := int64(0)
	body := make([]byte, 0, s.size)
	for i, segment := range s.list {
		body = append(body, segment...)
		reserved += int64(cap(segment))
		s.list[i] = nil
	}
	s.hold.Release(reserved - s.size)
	return body
}

func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
