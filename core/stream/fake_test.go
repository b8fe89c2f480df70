package stream

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"gorseline/core"
)

// script is a Completer whose streams are lists of pieces.
type script struct {
	mu sync.Mutex
	// complete and resume return the pieces of the next call; a nil list blocks.
	complete func(address string, r core.CompletionRequest) ([]core.Piece, error)
	resume   func(address, stream string, offset int) ([]core.Piece, error)
	// cut is the error after the last piece; nil means io.EOF.
	cut       error
	calls     []string
	cancelled []string
}

func (s *script) note(list *[]string, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, fmt.Sprintf(format, args...))
}

func (s *script) Complete(_ context.Context, address string, r core.CompletionRequest) (core.PieceReader, error) {
	s.note(&s.calls, "complete %s", address)
	pieces, err := s.complete(address, r)
	if err != nil {
		return nil, err
	}
	return &scripted{pieces: pieces, cut: s.cut, hang: pieces == nil}, nil
}

func (s *script) Resume(_ context.Context, address, stream string, offset int) (core.PieceReader, error) {
	s.note(&s.calls, "resume %s %d", address, offset)
	pieces, err := s.resume(address, stream, offset)
	if err != nil {
		return nil, err
	}
	return &scripted{pieces: pieces, cut: s.cut, hang: pieces == nil}, nil
}

func (s *script) Cancel(_ context.Context, _, stream string) error {
	s.note(&s.cancelled, "%s", stream)
	return nil
}

type scripted struct {
	pieces []core.Piece
	cut    error
	hang   bool
	ready  bool
}

func (r *scripted) Next(ctx context.Context) (core.Piece, error) {
	if r.hang {
		<-ctx.Done()
		return core.Piece{}, context.Cause(ctx)
	}
	if len(r.pieces) == 0 {
		if r.cut != nil {
			return core.Piece{}, r.cut
		}
		return core.Piece{}, io.EOF
	}
	p := r.pieces[0]
	r.pieces = r.pieces[1:]
	return p, nil
}

func (r *scripted) Ready() bool  { return r.ready && len(r.pieces) > 0 }
func (r *scripted) Close() error { return nil }

// sink collects what a caller got.
type sink struct {
	text       strings.Builder
	ids        []string
	flushes    int
	heartbeats int
	finished   int
	refusal    *core.Refusal
	block      chan struct{} // if set, Write blocks until Interrupt
	err        error
}

func newSink() *sink { return &sink{finished: -1} }

func (s *sink) Write(text, id []byte, _ int) error {
	if s.block != nil {
		<-s.block
		return io.ErrClosedPipe
	}
	s.text.Write(text)
	s.ids = append(s.ids, string(id))
	return s.err
}

func (s *sink) Flush() error            { s.flushes++; return s.err }
func (s *sink) Heartbeat() error        { s.heartbeats++; return s.err }
func (s *sink) Finish(tokens int) error { s.finished = tokens; return s.err }
func (s *sink) Interrupt()              { close(s.block) }

func (s *sink) Fail(refusal *core.Refusal, _ []byte) error {
	s.refusal = refusal
	return s.err
}

// words returns the pieces of an answer, one word each, and its text.
func words(stream string, attempt core.AttemptID, n int) (pieces []core.Piece, text string) {
	for i := range n {
		word := fmt.Sprintf("w%d ", i)
		text += word
		pieces = append(pieces, core.Piece{Stream: stream, Attempt: attempt, Offset: i, Text: word, Tokens: 1})
	}
	return append(pieces, core.Piece{Stream: stream, Attempt: attempt, Offset: n, Final: true, Total: n}), text
}

// key is a resume token key for tests.
var key = []byte("0123456789abcdef0123456789abcdef")

func newSealer() *TokenSigner {
	s, err := NewTokenSigner(key)
	if err != nil {
		panic(err)
	}
	return s
}

// targets offers "a", "b" and "c".
func targets(exclude []core.TargetID) (Candidate, bool) {
next:
	for _, id := range []core.TargetID{"a", "b", "c"} {
		for _, e := range exclude {
			if e == id {
				continue next
			}
		}
		return Candidate{Target: id, Address: string(id)}, true
	}
	return Candidate{}, false
}

func call() Call {
	return Call{
		Request:    &core.Request{Organisation: "club", Kind: core.Kind{Repeatable: true}},
		Completion: core.CompletionRequest{Attempt: "x", Model: "m", Prompt: "p"},
		Targets:    targets,
	}
}
