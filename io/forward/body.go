package forward

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxInitialBuffer bounds the bytes that are allocated for a body before any of it has
// arrived.
const maxInitialBuffer = 64 << 10

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

func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
