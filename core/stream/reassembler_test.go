package stream

import (
	"testing"

	"pgregory.net/rapid"

	"gorseline/core"
)

// Guards against lost or repeated text: pieces that are duplicated, displaced by up
// to 8 places and mixed with pieces of another attempt must give the same text as the
// pieces in order.
func TestReassemblerRestoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "tokens")
		pieces, want := wordPieces("s", "x", n)
		final := pieces[n]
		var sent []core.Piece
		for _, p := range pieces[:n] {
			sent = append(sent, p)
			if rapid.Bool().Draw(t, "double") {
				sent = append(sent, p)
			}
			if rapid.Bool().Draw(t, "foreign") {
				sent = append(sent, core.Piece{Stream: "s", Attempt: "old", Offset: p.Offset, Text: "bad ", Tokens: 1})
			}
		}
		for i := range sent {
			j := min(len(sent)-1, i+rapid.IntRange(0, 4).Draw(t, "shift"))
			sent[i], sent[j] = sent[j], sent[i]
		}
		r := newRerunReassembler("x", &Position{Digest: fnvOffsetBasis})
		got, done := "", false
		for _, piece := range append(sent, final) {
			ok, err := r.push(&piece)
			if err != nil {
				t.Skip("more pieces displaced than the buffer holds")
			}
			for p := piece; ok; p, ok = r.nextBuffered() {
				text, _, err := r.advance(&p)
				if err != nil {
					t.Fatal(err)
				}
				got += text
				done = p.Final
			}
		}
		if got != want || !done {
			t.Fatalf("got %q, done %v, want %q", got, done, want)
		}
	})
}

// Guards against a buffer that grows without bound when a piece never arrives.
func TestReassemblerBufferIsBounded(t *testing.T) {
	pieces, _ := wordPieces("s", "x", 100)
	r := newRerunReassembler("x", &Position{Digest: fnvOffsetBasis})
	var err error
	for _, p := range pieces[1:] {
		if _, err = r.push(&p); err != nil {
			break
		}
	}
	if err == nil || len(r.buffered) > maxBufferedPieces {
		t.Errorf("%d pieces buffered, %v", len(r.buffered), err)
	}
}
