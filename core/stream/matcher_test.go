package stream

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"gorseline/core"
)

// Guards against lost or repeated text in the matcher: pieces that are doubled,
// displaced by up to 8 places and mixed with foreign ones give the same text as
// the pieces in order.
func TestMatcherRestoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "tokens")
		pieces, want := words("s", "x", n)
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
		m := newRerun("x", &Position{Digest: digestStart})
		got, done := "", false
		for _, piece := range append(sent, final) {
			ok, err := m.push(&piece)
			if err != nil {
				t.Skip("more pieces displaced than the matcher holds")
			}
			for p := piece; ok; p, ok = m.take() {
				text, _, err := m.advance(&p)
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

// Guards against memory that grows with a stream whose pieces stay missing.
func TestMatcherHoldsAreBounded(t *testing.T) {
	pieces, _ := words("s", "x", 100)
	m := newRerun("x", &Position{Digest: digestStart})
	var err error
	for _, p := range pieces[1:] {
		if _, err = m.push(&p); err != nil {
			break
		}
	}
	if err == nil || len(m.held) > maxHeld {
		t.Errorf("%d pieces held, %v", len(m.held), err)
	}
}

// Guards against a token that another key, another organisation or a changed
// byte can pass.
func TestTokens(t *testing.T) {
	p := Position{
		Organisation: "club", Target: "e1", Address: "10.0.0.1:8000", Stream: "e1-0-7", Attempt: "a/1",
		Offset: 12, Bytes: 80, Digest: 7,
	}
	token := string(newSealer().Append(nil, &p))
	if got, err := newSealer().Verify(token, "club"); err != nil || got != p {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := newSealer().Verify(token, "rival"); err == nil {
		t.Error("another organisation's token was accepted")
	}
	renewed, err := NewTokenSigner([]byte("another key of 32 bytes in length"), key)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := renewed.Verify(token, "club"); err != nil || got != p {
		t.Errorf("with the previous key: %+v, %v", got, err)
	}
	for i := range token {
		changed := []byte(token)
		changed[i] ^= 1
		if slices.Equal(changed, []byte(token)) {
			continue
		}
		if got, err := newSealer().Verify(string(changed), "club"); err == nil {
			t.Fatalf("changed byte %d gave %+v", i, got)
		}
	}
	if _, err := NewTokenSigner([]byte("short")); err == nil {
		t.Error("a short key was accepted")
	}
}

// FuzzParse guards against a crash or a second spelling of a token's content.
func FuzzParse(f *testing.F) {
	f.Add([]byte{tokenVersion})
	f.Add([]byte("\x01\x04club\x02e1\x04a:80\x01s\x01x\x0c\x50\x00\x00\x00\x00\x00\x00\x00\x07"))
	f.Add([]byte("\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, content []byte) {
		p, ok := parse(content)
		if !ok {
			return
		}
		sealer := newSealer()
		again, err := sealer.Verify(string(sealer.Append(nil, &p)), p.Organisation)
		if err != nil && len(content) < maxToken/2 || err == nil && again != p {
			t.Fatalf("%+v became %+v, %v", p, again, err)
		}
	})
}
