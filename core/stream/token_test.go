package stream

import (
	"slices"
	"testing"
)

// Guards against an accepted token that has a changed byte or belongs to another
// organisation, and against tokens that are rejected after a change of the key.
func TestResumeTokens(t *testing.T) {
	p := Position{
		Organisation: "club", Target: "e1", Address: "10.0.0.1:8000", Stream: "e1-0-7", Attempt: "a/1",
		Offset: 12, Bytes: 80, Digest: 7,
	}
	token := string(newTestSigner().Append(nil, &p))
	if got, err := newTestSigner().Verify(token, "club"); err != nil || got != p {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := newTestSigner().Verify(token, "rival"); err == nil {
		t.Error("another organisation's token was accepted")
	}
	renewed, err := NewTokenSigner([]byte("another key of 32 bytes in length"), testKey)
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
		if got, err := newTestSigner().Verify(string(changed), "club"); err == nil {
			t.Fatalf("changed byte %d gave %+v", i, got)
		}
	}
	if _, err := NewTokenSigner([]byte("short")); err == nil {
		t.Error("a short key was accepted")
	}
}

// FuzzParsePosition guards against a crash on malformed content, and against a
// position that changes when it is encoded and decoded again.
func FuzzParsePosition(f *testing.F) {
	f.Add([]byte{tokenVersion})
	f.Add([]byte("\x01\x04club\x02e1\x04a:80\x01s\x01x\x0c\x50\x00\x00\x00\x00\x00\x00\x00\x07"))
	f.Add([]byte("\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, content []byte) {
		p, ok := parsePosition(content)
		if !ok {
			return
		}
		signer := newTestSigner()
		again, err := signer.Verify(string(signer.Append(nil, &p)), p.Organisation)
		if err != nil && len(content) < maxTokenLength/2 || err == nil && again != p {
			t.Fatalf("%+v became %+v, %v", p, again, err)
		}
	})
}
