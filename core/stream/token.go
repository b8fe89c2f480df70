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

// Position is a point in an answer: what a resume token names.
type Position struct {
	Organisation core.Organisation
	Target       core.TargetID
	Address      string
	// Stream and Attempt belong to the engine's stream at Address.
	Stream  string
	Attempt core.AttemptID
	// Offset is the number of tokens delivered, Bytes the length of their text and
	// Digest its FNV-1a hash. A rerun elsewhere is checked against them.
	Offset int
	Bytes  int
	Digest uint64
}

const (
	tokenVersion = 1
	// macSize is the length of the truncated HMAC-SHA256 in bytes.
	macSize = 16
	// maxToken bounds the length of a token that is worth decoding, in bytes.
	maxToken = 2048
	// minKey is the least length of a key in bytes.
	minKey = 16
)

var encoding = base64.RawURLEncoding

// TokenSigner makes and checks resume tokens. Instances with the same key accept each
// other's tokens.
type TokenSigner struct {
	current sync.Pool
	keys    [][]byte
}

// NewTokenSigner returns a signer that makes tokens with key and also accepts tokens
// made with the previous keys. Keys have at least 16 bytes.
func NewTokenSigner(key []byte, previous ...[]byte) (*TokenSigner, error) {
	keys := append([][]byte{key}, previous...)
	for _, k := range keys {
		if len(k) < minKey {
			return nil, errors.Errorf("resume token key has %d bytes, at least %d are needed", len(k), minKey)
		}
	}
	s := &TokenSigner{keys: keys}
	s.current.New = func() any { return &mac{Hash: hmac.New(sha256.New, key)} }
	return s, nil
}

// mac is a reusable HMAC with room for its sum and for a token's content.
type mac struct {
	hash.Hash
	sum     [sha256.Size]byte
	content []byte
}

// Append appends the token of p to into.
func (s *TokenSigner) Append(into []byte, p *Position) []byte {
	m := s.current.Get().(*mac)
	defer s.current.Put(m)
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
	_, _ = m.Write(b) // a hash never fails
	b = append(b, m.Sum(m.sum[:0])[:macSize]...)
	m.content = b
	return encoding.AppendEncode(into, b)
}

// Verify checks a token and returns its position. The error is a *core.Refusal:
// InvalidResumeToken, or ForeignResumeToken if it belongs to another organisation.
func (s *TokenSigner) Verify(token string, organisation core.Organisation) (Position, error) {
	invalid := &core.Refusal{
		Kind: "InvalidResumeToken", Message: "the resume token is not authentic", NotRun: true,
		Status: http.StatusBadRequest,
	}
	if len(token) > maxToken {
		return Position{}, invalid
	}
	b, err := encoding.DecodeString(token)
	if err != nil || len(b) < macSize+1 {
		return Position{}, invalid
	}
	content, sum := b[:len(b)-macSize], b[len(b)-macSize:]
	if !s.authentic(content, sum) {
		return Position{}, invalid
	}
	p, ok := parse(content)
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

func (s *TokenSigner) authentic(content, sum []byte) bool {
	for _, key := range s.keys {
		m := hmac.New(sha256.New, key)
		_, _ = m.Write(content)
		if hmac.Equal(m.Sum(nil)[:macSize], sum) {
			return true
		}
	}
	return false
}

// parse decodes the content of an authentic token.
func parse(b []byte) (Position, bool) {
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
		if size <= 0 || n > 1<<40 {
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
