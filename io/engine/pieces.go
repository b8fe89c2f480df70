package engine

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/sse"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 64 << 10

// wirePiece is the JSON data of one event.
type wirePiece struct {
	ID      string         `json:"id"`
	Attempt core.AttemptID `json:"attempt_id"`
	Offset  int            `json:"offset"`
	Tokens  int            `json:"tokens"`
	Choices [1]wireChoice  `json:"choices"`
	Usage   *wireUsage     `json:"usage"`
	Error   *wireError     `json:"error"`
}

type wireChoice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type wireUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type wireError struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// pieceReader reads one stream. Closing it before the end closes the connection,
// so that the pool can't reuse it.
type pieceReader struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	client  *Client
	address string
	stream  string // the engine's ID of the stream
	body    io.Closer
	events  *sse.Decoder
	wire    wirePiece // reused to save allocations
	ended   bool

	// watched is the context of the last call of Next; its end cancels the stream.
	watched   context.Context
	unwatch   func() bool
	closeOnce sync.Once
}

var (
	_ core.ReadyReader = (*pieceReader)(nil)
	_ core.NamedReader = (*pieceReader)(nil)
)

// newPieceReader returns the reader of resp. ctx is the request's context, which cancel
// ends; parent is the context that ctx is derived from.
func newPieceReader(ctx, parent context.Context, cancel context.CancelCauseFunc, c *Client, address string, resp *http.Response) *pieceReader {
	return &pieceReader{
		ctx: ctx, watched: parent, cancel: cancel, client: c, address: address, stream: resp.Header.Get("X-Stream"),
		body: resp.Body, events: sse.NewDecoder(resp.Body, maxEvent),
	}
}

// Ready reports whether the next piece has already arrived.
func (r *pieceReader) Ready() bool { return r.events.Ready() }

// Stream returns the engine's ID of the stream, or "" if the engine sent none.
func (r *pieceReader) Stream() string { return r.stream }

// Next returns the next piece or heartbeat.
func (r *pieceReader) Next(ctx context.Context) (core.Piece, error) {
	if r.ended {
		return core.Piece{}, io.EOF
	}
	r.watch(ctx)
	var event sse.Event
	if err := r.events.Next(&event); err != nil {
		return core.Piece{}, r.readError(err)
	}
	if event.Comment {
		return core.Piece{Heartbeat: true}, nil
	}
	return r.decode(event.Data)
}

// watch cancels the stream, and thereby a blocked read, when ctx ends. Callers usually
// pass the same context each time, which costs only a comparison per piece.
func (r *pieceReader) watch(ctx context.Context) {
	if ctx == r.watched {
		return
	}
	if r.unwatch != nil {
		r.unwatch()
	}
	r.watched = ctx
	r.unwatch = context.AfterFunc(ctx, func() { r.cancel(context.Cause(ctx)) })
}

func (r *pieceReader) decode(data []byte) (core.Piece, error) {
	if string(data) == "[DONE]" {
		// Next returns io.EOF after the terminal piece, so that piece is missing here.
		return core.Piece{}, core.ErrStreamCut
	}
	wire := &r.wire
	*wire = wirePiece{}
	if err := decodePiece(data, wire); err != nil {
		return core.Piece{}, errors.Wrapf(core.ErrStreamCut, "undecodable event: %v", err)
	}
	if wire.Error != nil {
		return core.Piece{}, errors.Wrapf(core.ErrUnknownStream, "engine ended the stream: %s", wire.Error.Type)
	}
	piece := core.Piece{Stream: wire.ID, Attempt: wire.Attempt, Offset: wire.Offset, Tokens: wire.Tokens}
	piece.Text = wire.Choices[0].Text
	piece.Final = wire.Choices[0].FinishReason != ""
	if piece.Final && wire.Usage != nil {
		piece.Total = wire.Usage.CompletionTokens
		r.ended = true
	}
	return piece, nil
}

// readError returns the error of Next for a failed read: the cause if the request's
// context has ended, or else core.ErrStreamCut.
func (r *pieceReader) readError(err error) error {
	if cause := context.Cause(r.ctx); cause != nil {
		r.client.discardIfTimedOut(r.ctx, r.address)
		return errors.Wrapf(cause, "read from engine %s", r.address)
	}
	return errors.Wrapf(core.ErrStreamCut, "engine %s: %v", r.address, err)
}

// Close ends the stream. After the terminal piece it reads the rest of the body, so that
// the connection can be reused.
func (r *pieceReader) Close() error {
	r.closeOnce.Do(func() {
		if r.ended {
			r.drain()
		}
		if r.unwatch != nil {
			r.unwatch()
		}
		r.cancel(nil)
		r.body.Close()
		r.client.addOpenStreams(r.address, -1)
	})
	return nil
}

// drain reads the "[DONE]" event and the end of the body.
func (r *pieceReader) drain() {
	var event sse.Event
	for range 2 {
		if r.events.Next(&event) != nil {
			return
		}
	}
}
