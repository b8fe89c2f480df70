package stream

import (
	"context"
	"fmt"
	"testing"

	"gorseline/core"
)

// endless is a reader whose pieces are always there, or never.
type endless struct {
	ready   bool
	offset  int
	total   int
	attempt core.AttemptID
}

func (r *endless) Next(context.Context) (core.Piece, error) {
	p := core.Piece{Stream: "engine-0-1", Attempt: r.attempt, Offset: r.offset, Text: "premium ", Tokens: 1}
	if r.offset == r.total {
		p.Text, p.Tokens, p.Final, p.Total = "", 0, true, r.total
	}
	r.offset++
	return p, nil
}

func (r *endless) Ready() bool  { return r.ready }
func (r *endless) Close() error { return nil }

type endlessCompleter struct {
	script
	reader *endless
}

func (c *endlessCompleter) Complete(_ context.Context, _ string, r core.CompletionRequest) (core.PieceReader, error) {
	c.reader.attempt = r.Attempt
	return c.reader, nil
}

type discard struct{}

func (discard) Write(_, _ []byte, _ int) error   { return nil }
func (discard) Flush() error                     { return nil }
func (discard) Heartbeat() error                 { return nil }
func (discard) Finish(int) error                 { return nil }
func (discard) Fail(*core.Refusal, []byte) error { return nil }
func (discard) Interrupt()                       {}

// BenchmarkRelay is the relay's own work per token: matching, digest, resume
// token. The pieces come one by one or in a burst.
func BenchmarkRelay(b *testing.B) {
	for _, ready := range []bool{false, true} {
		b.Run(fmt.Sprintf("burst=%v", ready), func(b *testing.B) {
			b.ReportAllocs()
			completer := &endlessCompleter{reader: &endless{ready: ready, total: b.N}}
			result := newTestRelay(Options{Completer: completer}).Serve(b.Context(), call(), discard{})
			if result.Outcome != core.OutcomeDone || result.Tokens != b.N {
				b.Fatalf("%+v", result)
			}
		})
	}
}

// BenchmarkToken is the cost of one resume token.
func BenchmarkToken(b *testing.B) {
	b.ReportAllocs()
	sealer := newSealer()
	p := Position{Organisation: "club", Target: "ledger-llm-3", Address: "10.1.0.3:8000", Stream: "e3-0-77", Attempt: "i1-55/1"}
	var into []byte
	for b.Loop() {
		p.Offset++
		into = sealer.Append(into[:0], &p)
	}
}
