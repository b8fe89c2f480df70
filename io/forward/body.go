package forward

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// firstBody bounds the memory that a stated length alone can claim, in bytes.
const firstBody = 64 << 10

// readAll reads a body whose length is stated, or is negative if it is unknown.
func readAll(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 {
		// One byte more lets ReadFrom see the end without growing the buffer.
		buffer.Grow(int(min(length, firstBody)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(body)
	return buffer.Bytes(), err
}

func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
