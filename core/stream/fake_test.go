package stream

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"gorseline/core"
)

// fakeCompleter is a Completer whose streams are lists of pieces.
type fakeCompleter struct {
	mu sync.Mutex
	// complete and resume return the pieces of a stream. The reader of a nil list
	// blocks until its context ends.
	complete func(address string, r core.CompletionRequest) ([]core.Piece, error)
	resume   func(address, stream string, offset int) ([]core.Piece, error)
	// endErr is the error after the last piece; nil means io.EOF.
	endErr    error
	calls     []string
	cancelled []string
}

func (c *fakeCompleter) add(list *[]string, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, fmt.Sprintf(format, args...))
}

func (c *fakeCompleter) Complete(_ context.Context, address string, r core.CompletionRequest) (core.PieceReader, error) {
	c.add(&c.calls, "complete %s", address)
	pieces, err := c.complete(address, r)
	if err != nil {
		return nil, err
	}
	return &fakeReader{pieces: pieces, endErr: c.endErr, blocks: pieces == nil}, nil
}

func (c *fakeCompleter) Resume(_ context.Context, address, stream string, offset int) (core.PieceReader, error) {
	c.add(&c.calls, "resume %s %d", address, offset)
	pieces, err := c.resume(address, stream, offset)
	if err != nil {
		return nil, err
	}
	return &fakeReader{pieces: pieces, endErr: c.endErr, blocks: pieces == nil}, nil
}

func (c *fakeCompleter) Cancel(_ context.Context, _, stream string) error {
	c.add(&c.cancelled, "%s", stream)
	return nil
}

type fakeReader struct {
	pieces []core.Piece
	endErr error
	blocks bool
	ready  bool
}

func (r *fakeReader) Next(ctx context.Context) (core.Piece, error) {
	if r.blocks {
		<-ctx.Done()
		return core.Piece{}, context.Cause(ctx)
	}
	if len(r.pieces) == 0 {
		if r.endErr != nil {
			return core.Piece{}, r.endErr
		}
		return core.Piece{}, io.EOF
	}
	p := r.pieces[0]
	r.pieces = r.pieces[1:]
	return p, nil
}

func (r *fakeReader) Ready() bool  { return r.ready && len(r.pieces) > 0 }
func (r *fakeReader) Close() error { return nil }

// recordingSink records what is sent to a caller.
type recordingSink struct {
	text       strings.Builder
	ids        []string
	flushes    int
	heartbeats int
	finished   int
	refusal    *core.Refusal
	block      chan struct{} // Write blocks until Interrupt closes it; nil never blocks
	err        error
}

func newRecordingSink() *recordingSink { return &recordingSink{finished: -1} }

func (s *recordingSink) Write(text, id []byte, _ int) error {
	if s.block != nil {
		<-s.block
		return io.ErrClosedPipe
	}
	s.text.Write(text)
	s.ids = append(s.ids, string(id))
	return s.err
}

func (s *recordingSink) Flush() error            { s.flushes++; return s.err }
func (s *recordingSink) Heartbeat() error        { s.heartbeats++; return s.err }
func (s *recordingSink) Finish(tokens int) error { s.finished = tokens; return s.err }
func (s *recordingSink) Interrupt()              { close(s.block) }

func (s *recordingSink) Fail(refusal *core.Refusal, _ []byte) error {
	s.refusal = refusal
	return s.err
}

// wordPieces returns the pieces of an answer of n words, one each, and its text.
func wordPieces(stream string, attempt core.AttemptID, n int) (pieces []core.Piece, text string) {
	for i := range n {
		word := fmt.Sprintf("w%d ", i)
		text += word
		pieces = append(pieces, core.Piece{Stream: stream, Attempt: attempt, Offset: i, Text: word, Tokens: 1})
	}
	return append(pieces, core.Piece{Stream: stream, Attempt: attempt, Offset: n, Final: true, Total: n}), text
}

var testKey = []byte("0123456789abcdef0123456789abcdef")

func newTestSigner() *TokenSigner {
	s, err := NewTokenSigner(testKey)
	if err != nil {
		panic(err)
	}
	return s
}

// chooseTarget returns the first of the targets "a", "b" and "c" that is not excluded.
func chooseTarget(exclude []core.TargetID) (Candidate, bool) {
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

func testCall() Call {
	return Call{
		Request:      &core.Request{Organisation: "club", Kind: core.Kind{Repeatable: true}},
		Completion:   core.CompletionRequest{Attempt: "x", Model: "m", Prompt: "p"},
		ChooseTarget: chooseTarget,
	}
}
