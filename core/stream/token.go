package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Position is a point in an answer after which it can be resumed. Resume tokens
// encode it.
type Position struct {
	Organisation core.Organisation
	Target       core.TargetID
	Address      string
	// Stream and Attempt identify the stream on the engine at Address.
	Stream  string
	Attempt core.AttemptID
	// Offset is the number of tokens delivered, Bytes the length of their text and
	// Digest its FNV-1a hash. The text of a rerun is checked against Bytes and Digest.
	Offset int
	Bytes  int
	Digest uint64
}

const (
	tokenVersion = 1
	// macSize is the length of the truncated HMAC-SHA256 in bytes.
	macSize = 16
	// maxTokenLength is the length in bytes above which tokens are rejected undecoded.
	maxTokenLength = 2048
	// minKeyLength is the minimum length of a key in bytes.
	minKeyLength = 16
	// maxCount bounds the offset and the length of text in a token.
	maxCount = 1 << 40
)

var tokenEncoding = base64.RawURLEncoding

// TokenSigner creates and verifies resume tokens, which are signed but not encrypted.
// Instances with the same key accept each other's tokens. It is safe for concurrent use.
type TokenSigner struct {
	macPool sync.Pool
	keys    [][]byte
}

// NewTokenSigner returns a signer that signs tokens with key and also accepts tokens
// signed with the previous keys. It returns an error if a key is shorter than 16 bytes.
func NewTokenSigner(key []byte, previous ...[]byte) (*TokenSigner, error) {
	keys := append([][]byte{key}, previous...)
	for _, k := range keys {
		if len(k) < minKeyLength {
			return nil, errors.Errorf("resume token key has %d bytes, at least %d are needed", len(k), minKeyLength)
		}
	}
	s := &TokenSigner{keys: keys}
	s.macPool.New = func() any { return &pooledMAC{Hash: hmac.New(sha256.New, key)} }
	return s, nil
}

// pooledMAC is a reusable HMAC with buffers for its sum and for the content of a token.
type pooledMAC struct {
	hash.Hash
	sum     [sha256.Size]byte
	content []byte
}

// Append appends the token of p to into and returns the result.
func (s *TokenSigner) Append(into []byte, p *Position) []byte {
	m := s.macPool.Get().(*pooledMAC)
	defer s.macPool.Put(m)
	b := m.content[:0]
	b = append(b, tokenVersion)
	for _, field := range [...]string{string(p.Organisation), string(p.Target), p.Address, p.Stream, string(p.Attempt)} {
		b = binary.AppendUvarint(b, uint64(len(field)))
		b = append(b, field...)
	}
	b = binary.AppendUvarint(b, uint64(p.Offset))
	b = binary.AppendUvarint(b, uint64(p.Bytes))
	b = binary.BigEndian.AppendUint64(b, p.Digest)
	m.Reset()
	_, _ = m.Write(b) // hash.Hash never returns an error
	b = append(b, m.Sum(m.sum[:0])[:macSize]...)
	m.content = b
	return tokenEncoding.AppendEncode(into, b)
}

// Verify checks a token and returns its position. organisation is that of the caller.
// The error is a *core.Refusal: InvalidResumeToken, or ForeignResumeToken if the token
// belongs to another organisation.
func (s *TokenSigner) Verify(token string, organisation core.Organisation) (Position, error) {
	invalid := &core.Refusal{
		Kind: "InvalidResumeToken", Message: "the resume token is not authentic", NotRun: true,
		Status: http.StatusBadRequest,
	}
	if len(token) > maxTokenLength {
		return Position{}, invalid
	}
	b, err := tokenEncoding.DecodeString(token)
	if err != nil || len(b) < macSize+1 {
		return Position{}, invalid
	}
	content, sum := b[:len(b)-macSize], b[len(b)-macSize:]
	if !s.isAuthentic(content, sum) {
		return Position{}, invalid
	}
	p, ok := parsePosition(content)
	if !ok {
		return Position{}, invalid
	}
	if p.Organisation != organisation {
		return Position{}, &core.Refusal{
			Kind: "ForeignResumeToken", Message: "the resume token belongs to another organisation", NotRun: true,
			Status: http.StatusForbidden,
		}
	}
	return p, nil
}

// isAuthentic reports whether one of the keys gives this truncated HMAC of content.
func (s *TokenSigner) isAuthentic(content, sum []byte) bool {
	for _, key := range s.keys {
		m := hmac.New(sha256.New, key)
		_, _ = m.Write(content)
		if hmac.Equal(m.Sum(nil)[:macSize], sum) {
			return true
		}
	}
	return false
}

// parsePosition decodes the content of an authentic token and reports whether it is
// valid.
func parsePosition(b []byte) (Position, bool) {
	if len(b) == 0 || b[0] != tokenVersion {
		return Position{}, false
	}
	b = b[1:]
	var fields [5]string
	for i := range fields {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > uint64(len(b)-size) {
			return Position{}, false
		}
		fields[i], b = string(b[size:size+int(n)]), b[size+int(n):]
	}
	var numbers [2]uint64
	for i := range numbers {
		n, size := binary.Uvarint(b)
		if size <= 0 || n > maxCount {
			return Position{}, false
		}
		numbers[i], b = n, b[size:]
	}
	if len(b) != 8 {
		return Position{}, false
	}
	return Position{
		Organisation: core.Organisation(fields[0]), Target: core.TargetID(fields[1]), Address: fields[2],
		Stream: fields[3], Attempt: core.AttemptID(fields[4]),
		Offset: int(numbers[0]), Bytes: int(numbers[1]), Digest: binary.BigEndian.Uint64(b),
	}, true
}
