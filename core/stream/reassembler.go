package stream

import (
	"github.com/pkg/errors"

	"gorseline/core"
)

const (
	// maxBufferedPieces and maxBufferedBytes bound the pieces that arrived before an
	// earlier one of the same attempt.
	maxBufferedPieces = 16
	maxBufferedBytes  = 4 << 10

	// Parameters of the 64-bit FNV-1a hash.
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

var (
	// errMissingPieces reports a gap that is not filled by later pieces, or pieces that
	// overlap. A resume fetches the missing text.
	errMissingPieces = errors.New("pieces of the answer are missing")
	// errDiverged reports a rerun whose text does not begin with the delivered text.
	errDiverged = errors.New("rerun differs from the delivered text")
	// errTokenCount reports a terminal piece whose total is less than the number of
	// tokens received.
	errTokenCount = errors.New("token count of the answer does not match")
)

// extendDigest continues the FNV-1a hash digest with the bytes of text.
func extendDigest[T string | []byte](digest uint64, text T) uint64 {
	for i := range len(text) {
		digest = (digest ^ uint64(text[i])) * fnvPrime
	}
	return digest
}

// pieceCounts counts pieces that were dropped or arrived out of order.
type pieceCounts struct {
	// stale counts dropped pieces of another stream or attempt.
	stale int
	// duplicate counts dropped pieces whose tokens have been received before.
	duplicate int
	// reordered counts pieces that were buffered because an earlier one was missing.
	reordered int
}

// reassembler puts the pieces of one attempt in order. For a rerun it checks the
// text that has already been delivered and cuts it off.
type reassembler struct {
	stream        string
	attempt       core.AttemptID
	next          int // offset of the next token of the attempt
	buffered      []core.Piece
	bufferedBytes int // length of the buffered texts
	counts        pieceCounts

	// A rerun starts at the first token. Its first prefixBytes bytes must have the
	// digest of the delivered text, prefixDigest. digest is the digest of the first
	// verifiedBytes bytes, which have arrived so far.
	prefixBytes   int
	verifiedBytes int
	prefixDigest  uint64
	digest        uint64
}

// newRerunReassembler returns the reassembler of an attempt that generates the answer
// from its first token.
func newRerunReassembler(attempt core.AttemptID, delivered *Position) reassembler {
	return reassembler{
		attempt: attempt, prefixBytes: delivered.Bytes, prefixDigest: delivered.Digest, digest: fnvOffsetBasis,
	}
}

// newResumeReassembler returns the reassembler of a stream that continues after the
// delivered position.
func newResumeReassembler(delivered *Position) reassembler {
	return reassembler{stream: delivered.Stream, attempt: delivered.Attempt, next: delivered.Offset}
}

// push accepts a piece from the connection. It reports whether p is the next piece of
// the answer; otherwise p is buffered or dropped. The error is errMissingPieces if p
// overlaps received tokens or the buffer is full.
func (r *reassembler) push(p *core.Piece) (bool, error) {
	if p.Attempt != r.attempt || r.stream != "" && p.Stream != r.stream {
		r.counts.stale++
		return false, nil
	}
	r.stream = p.Stream
	switch {
	case p.Offset == r.next:
		return true, nil
	case p.Offset > r.next:
		return false, r.buffer(p)
	case p.Offset+p.Tokens > r.next:
		return false, errMissingPieces
	default:
		r.counts.duplicate++
		return false, nil
	}
}

func (r *reassembler) buffer(p *core.Piece) error {
	for i := range r.buffered {
		if r.buffered[i].Offset == p.Offset && r.buffered[i].Final == p.Final {
			r.counts.duplicate++
			return nil
		}
	}
	if len(r.buffered) >= maxBufferedPieces || r.bufferedBytes+len(p.Text) > maxBufferedBytes {
		return errMissingPieces
	}
	r.counts.reordered++
	r.buffered = append(r.buffered, *p)
	r.bufferedBytes += len(p.Text)
	return nil
}

// nextBuffered removes and returns the buffered piece at the next offset. It drops
// pieces before that offset.
func (r *reassembler) nextBuffered() (core.Piece, bool) {
	for i := 0; i < len(r.buffered); i++ {
		p := r.buffered[i]
		if p.Offset > r.next {
			continue
		}
		r.buffered = append(r.buffered[:i], r.buffered[i+1:]...)
		r.bufferedBytes -= len(p.Text)
		if p.Offset == r.next {
			return p, true
		}
		r.counts.duplicate++
		i--
	}
	return core.Piece{}, false
}

// advance moves past p, which must be the next piece. It returns the text of p that
// has not been delivered, and the offset after p. The error is errDiverged,
// errMissingPieces or errTokenCount.
func (r *reassembler) advance(p *core.Piece) (text string, offset int, err error) {
	r.next += p.Tokens
	text = p.Text
	if remaining := r.prefixBytes - r.verifiedBytes; remaining > 0 {
		n := min(remaining, len(text))
		r.digest = extendDigest(r.digest, text[:n])
		r.verifiedBytes += n
		text = text[n:]
		if r.verifiedBytes == r.prefixBytes && r.digest != r.prefixDigest {
			return "", 0, errDiverged
		}
	}
	if p.Final {
		return text, r.next, r.checkTotal(p.Total)
	}
	return text, r.next, nil
}

func (r *reassembler) checkTotal(total int) error {
	switch {
	case r.verifiedBytes < r.prefixBytes:
		return errDiverged
	case total > r.next:
		return errMissingPieces
	case total < r.next:
		return errTokenCount
	default:
		return nil
	}
}
