package target

import (
	"bufio"
	"io"
)

// lengthBody is a body with FramingLength.
type lengthBody struct {
	reader *bufio.Reader
	// left is the number of bytes left.
	left int64
}

var _ io.Reader = (*lengthBody)(nil)

// Read returns io.ErrUnexpectedEOF if the connection ends before the body.
func (l *lengthBody) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, io.EOF
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, unexpectedEOF(err)
}
