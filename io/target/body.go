package target

import (
	"io"

	"github.com/pkg/errors"
)

// ErrBodyTooLong reports a body that exceeds its bound.
var ErrBodyTooLong = errors.New("body is too long")

// ReadBody reads a body of at most limit bytes. It returns ErrBodyTooLong for a longer one: what was read
// of it may look whole.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, ErrBodyTooLong
	}
	return data, err
}
