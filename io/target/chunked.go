package target

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// maxTrailer bounds the trailer after a chunked body, in bytes.
const maxTrailer = 16 << 10

var errMalformedChunk = errors.New("malformed chunked body")

// chunkedBody decodes a chunked body. Unlike the decoder of net/http, a read returns the bytes that
// have arrived, also if the target is silent in the middle of the next chunk.
type chunkedBody struct {
	reader *bufio.Reader
	// left is the number of bytes left in the current chunk.
	left uint64
	// isStarted is set after the first byte of data; the line break that ends the data of a chunk is
	// then due before the size of the next one.
	isStarted bool
	err       error
}

var _ io.Reader = (*chunkedBody)(nil)

// Read reads at least one byte and no more than can be read without waiting.
func (c *chunkedBody) Read(p []byte) (n int, err error) {
	for n < len(p) && c.err == nil && (n == 0 || c.isBuffered()) {
		if c.left == 0 {
			c.err = c.readSize()
			continue
		}
		size := min(uint64(len(p)-n), c.left)
		var read int
		read, c.err = c.reader.Read(p[n : n+int(size)])
		c.err = unexpectedEOF(c.err)
		n, c.left = n+read, c.left-uint64(read)
		c.isStarted = true
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// isBuffered reports whether more data can be read without waiting.
func (c *chunkedBody) isBuffered() bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails for buffered bytes
	if c.left > 0 {
		return len(buffered) > 0
	}
	// The size follows the line break that ends the chunk, in a line of its own.
	_, size, _ := bytes.Cut(buffered, []byte("\n"))
	return bytes.IndexByte(size, '\n') > 0 && size[0] != '0' // a trailer follows the size 0
}

// readSize reads the size of the next chunk. It returns io.EOF after the last chunk and the trailer.
func (c *chunkedBody) readSize() error {
	if c.isStarted {
		if line, err := c.readLine(); err != nil || len(line) > 0 {
			return firstError(err, errMalformedChunk)
		}
	}
	line, err := c.readLine()
	if err != nil {
		return err
	}
	digits, _, _ := bytes.Cut(line, []byte(";")) // extensions are ignored
	digits = bytes.TrimRight(digits, " \t")
	if c.left, err = strconv.ParseUint(string(digits), 16, 64); err != nil {
		return errMalformedChunk
	}
	if c.left > 0 {
		return nil
	}
	for size := 0; size < maxTrailer; size += len(line) {
		if line, err = c.readLine(); err != nil {
			return err
		}
		if len(line) == 0 {
			return io.EOF
		}
		if !isField(line) {
			return errMalformedChunk
		}
	}
	return errMalformedChunk
}

// readLine reads a line and returns it without its end. It is valid until the next read.
func (c *chunkedBody) readLine() ([]byte, error) {
	line, err := c.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errMalformedChunk
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, errMalformedChunk
	}
	return line, nil
}

// unexpectedEOF replaces io.EOF, since a chunked body states its end.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func firstError(err, other error) error {
	if err != nil {
		return err
	}
	return other
}
