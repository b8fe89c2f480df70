package stream

import (
	"context"
	"fmt"
	"testing"

	"gorseline/core"
)

// pieceGenerator returns total pieces and the terminal piece without blocking. ready is
// the result of Ready.
type pieceGenerator struct {
	ready   bool
	offset  int
	total   int
	attempt core.AttemptID
}

func (r *pieceGenerator) Next(context.Context) (core.Piece, error) {
	p := core.Piece{Stream: "engine-0-1", Attempt: r.attempt, Offset: r.offset, Text: "premium ", Tokens: 1}
	if r.offset == r.total {
		p.Text, p.Tokens, p.Final, p.Total = "", 0, true, r.total
	}
	r.offset++
	return p, nil
}

func (r *pieceGenerator) Ready() bool  { return r.ready }
func (r *pieceGenerator) Close() error { return nil }

type generatorCompleter struct {
	fakeCompleter
	reader *pieceGenerator
}

func (c *generatorCompleter) Complete(_ context.Context, _ string, r core.CompletionRequest) (core.PieceReader, error) {
	c.reader.attempt = r.Attempt
	return c.reader, nil
}

type discardSink struct{}

func (discardSink) Write(_, _ []byte, _ int) error   { return nil }
func (discardSink) Flush() error                     { return nil }
func (discardSink) Heartbeat() error                 { return nil }
func (discardSink) Finish(int) error                 { return nil }
func (discardSink) Fail(*core.Refusal, []byte) error { return nil }
func (discardSink) Interrupt()                       {}

// BenchmarkRelay measures the work of the relay per token: reassembly, digest and
// resume token. Pieces are written one by one or merged.
func BenchmarkRelay(b *testing.B) {
	for _, ready := range []bool{false, true} {
		b.Run(fmt.Sprintf("burst=%v", ready), func(b *testing.B) {
			b.ReportAllocs()
			completer := &generatorCompleter{reader: &pieceGenerator{ready: ready, total: b.N}}
			result := newTestRelay(Options{Completer: completer}).Serve(b.Context(), testCall(), discardSink{})
			if result.Outcome != core.OutcomeDone || result.Tokens != b.N {
				b.Fatalf("%+v", result)
			}
		})
	}
}

// BenchmarkToken measures the creation of one resume token.
func BenchmarkToken(b *testing.B) {
	b.ReportAllocs()
	signer := newTestSigner()
	p := Position{Organisation: "club", Target: "ledger-llm-3", Address: "10.1.0.3:8000", Stream: "e3-0-77", Attempt: "i1-55/1"}
	var into []byte
	for b.Loop() {
		p.Offset++
		into = signer.Append(into[:0], &p)
	}
}
