package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"io"
)

// Fingerprint returns the ID of the trait TraitRequest. Requests with equal fields and bodies have
// equal ones. The hash is a strong one because callers choose its input: no caller can make a request
// that shares the fingerprint of another caller's.
func Fingerprint(body []byte, fields ...string) uint64 {
	h := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // a hash returns no error
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}
