package stream

import (
	"github.com/pkg/errors"

	"gorseline/core"
)

const (
	// maxHeld and maxHeldBytes bound the pieces that wait for an earlier one.
	maxHeld      = 16
	maxHeldBytes = 4 << 10

	digestStart = 14695981039346656037
	digestPrime = 1099511628211
)

var (
	// errGap reports pieces that stayed missing or overlap; a resume fills the gap.
	errGap = errors.New("pieces of the answer are missing")
	// errDiverged reports a rerun whose text differs from what was delivered.
	errDiverged = errors.New("rerun differs from the delivered text")
	// errCount reports a terminal piece whose total is below the tokens received.
	errCount = errors.New("token count of the answer does not match")
)

// extend continues an FNV-1a hash with text.
func extend[T string | []byte](digest uint64, text T) uint64 {
	for i := range len(text) {
		digest = (digest ^ uint64(text[i])) * digestPrime
	}
	return digest
}

// drops counts pieces that did not take part in an answer.
type drops struct {
	// late pieces belong to another stream or attempt.
	late int
	// doubled pieces repeat tokens that have been received.
	doubled int
	// reordered pieces came before an earlier one and were held for it.
	reordered int
}

// matcher brings the pieces of one attempt in order and cuts off the text that
// the caller already has.
type matcher struct {
	stream  string
	attempt core.AttemptID
	next    int // offset of the next token of the attempt
	held    []core.Piece
	bytes   int // length of the held texts
	drops   drops

	// A rerun starts at the first token. Its first skip bytes must have the digest
	// of the delivered text.
	skip     int
	skipped  int
	expected uint64
	digest   uint64
}

// newRerun returns the matcher of an attempt that starts over.
func newRerun(attempt core.AttemptID, delivered *Position) matcher {
	return matcher{
		attempt: attempt, skip: delivered.Bytes, expected: delivered.Digest, digest: digestStart,
	}
}

// newResume returns the matcher of a stream that goes on after what was delivered.
func newResume(delivered *Position) matcher {
	return matcher{stream: delivered.Stream, attempt: delivered.Attempt, next: delivered.Offset}
}

// push takes one piece from the connection. It reports whether p is the next
// piece of the answer; otherwise p was held or dropped.
func (m *matcher) push(p *core.Piece) (bool, error) {
	if p.Attempt != m.attempt || m.stream != "" && p.Stream != m.stream {
		m.drops.late++
		return false, nil
	}
	m.stream = p.Stream
	switch {
	case p.Offset == m.next:
		return true, nil
	case p.Offset > m.next:
		return false, m.hold(p)
	case p.Offset+p.Tokens > m.next:
		return false, errGap
	default:
		m.drops.doubled++
		return false, nil
	}
}

func (m *matcher) hold(p *core.Piece) error {
	for i := range m.held {
		if m.held[i].Offset == p.Offset && m.held[i].Final == p.Final {
			m.drops.doubled++
			return nil
		}
	}
	if len(m.held) >= maxHeld || m.bytes+len(p.Text) > maxHeldBytes {
		return errGap
	}
	m.drops.reordered++
	m.held = append(m.held, *p)
	m.bytes += len(p.Text)
	return nil
}

// take returns a held piece whose turn it is.
func (m *matcher) take() (core.Piece, bool) {
	for i := 0; i < len(m.held); i++ {
		p := m.held[i]
		if p.Offset > m.next {
			continue
		}
		m.held = append(m.held[:i], m.held[i+1:]...)
		m.bytes -= len(p.Text)
		if p.Offset == m.next {
			return p, true
		}
		m.drops.doubled++
		i--
	}
	return core.Piece{}, false
}

// advance moves past p, which is the next piece, and returns the text that is
// new to the caller and the offset behind it.
func (m *matcher) advance(p *core.Piece) (text string, offset int, err error) {
	m.next += p.Tokens
	text = p.Text
	if missing := m.skip - m.skipped; missing > 0 {
		n := min(missing, len(text))
		m.digest = extend(m.digest, text[:n])
		m.skipped += n
		text = text[n:]
		if m.skipped == m.skip && m.digest != m.expected {
			return "", 0, errDiverged
		}
	}
	if p.Final {
		return text, m.next, m.checkTotal(p.Total)
	}
	return text, m.next, nil
}

func (m *matcher) checkTotal(total int) error {
	switch {
	case m.skipped < m.skip:
		return errDiverged
	case total > m.next:
		return errGap
	case total < m.next:
		return errCount
	default:
		return nil
	}
}
