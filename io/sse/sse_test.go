package sse

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

// Guards against events that clients of the OpenAI formats can't decode, such as text with
// wrong escapes.
func TestWriterAndDecoderAgree(t *testing.T) {
	for _, chat := range []bool{false, true} {
		recorder := httptest.NewRecorder()
		w := NewWriter(recorder, Format{Chat: chat, ID: "r1", Model: "m", Created: time.Unix(5, 0), PromptTokens: 3})
		texts := []string{"plain ", "quote \" and \\ ", "Gärten\n", "<b>"}
		for _, text := range texts {
			if err := w.Write([]byte(text), []byte("id-"+text[:1]), 1); err != nil {
				t.Fatal(err)
			}
		}
		w.Heartbeat()
		w.Fail(&core.Refusal{Kind: "K", Message: "m", NotRun: true, RetryAfterMs: 5}, []byte("last"))
		w.Finish(4)
		d := NewDecoder(iotest.OneByteReader(recorder.Body), 1<<10)
		var event Event
		got, comments, tokens, done := "", 0, 0, false
		var refusal *core.Refusal
		for d.Next(&event) == nil {
			if event.Comment {
				comments++
				continue
			}
			chunk, err := ParseChunk(&event)
			if err != nil {
				t.Fatalf("%s: %v", event.Data, err)
			}
			got += chunk.Text
			tokens += chunk.Tokens
			done = done || chunk.Done
			if chunk.Refusal != nil {
				refusal = chunk.Refusal
			}
		}
		if got != strings.Join(texts, "") || comments != 1 || tokens != 4 || !done {
			t.Errorf("chat %v: %q, %d comments, %d tokens, done %v", chat, got, comments, tokens, done)
		}
		if refusal == nil || refusal.Kind != "K" || !refusal.NotRun {
			t.Errorf("refusal %+v", refusal)
		}
	}
}

// Guards against status 200 for a request that failed before its first event.
func TestEarlyFailureHasItsOwnStatus(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder, Format{})
	w.Fail(&core.Refusal{Kind: "NoTarget", Status: 503, NotRun: true, RetryAfterMs: 1500}, nil)
	if recorder.Code != 503 || recorder.Header().Get("Retry-After") != "2" {
		t.Errorf("status %d, Retry-After %q", recorder.Code, recorder.Header().Get("Retry-After"))
	}
}

// Guards against a truncated stream that is taken as complete, and against events of
// unbounded length.
func TestDecoderErrors(t *testing.T) {
	tests := []struct {
		input string
		want  error
	}{
		{"data: a\n\n", io.EOF},
		{"data: a\n", io.ErrUnexpectedEOF},
		{"data: a", io.ErrUnexpectedEOF},
		{"data: " + strings.Repeat("x", 5000) + "\n\n", ErrTooLong},
		{strings.Repeat("data: "+strings.Repeat("x", 500)+"\n", 10) + "\n", ErrTooLong},
	}
	for _, test := range tests {
		d := NewDecoder(strings.NewReader(test.input), 4000)
		var event Event
		var err error
		for err == nil {
			err = d.Next(&event)
		}
		if !errors.Is(err, test.want) {
			t.Errorf("%.20q: %v, want %v", test.input, err, test.want)
		}
	}
}

// FuzzDecoder guards against a crash, and against a result that depends on how the input
// is split into reads.
func FuzzDecoder(f *testing.F) {
	f.Add("id: 7\ndata: {\"a\":1}\n\n: heartbeat\n\ndata: [DONE]\n\n")
	f.Add("event: error\r\ndata: a\r\ndata: b\r\n\r\n")
	f.Add("data\n\nid\n\n:\n\n\n")
	f.Fuzz(func(t *testing.T, input string) {
		whole, wholeErr := decodeAll(strings.NewReader(input))
		split, splitErr := decodeAll(iotest.OneByteReader(strings.NewReader(input)))
		if whole != split || wholeErr.Error() != splitErr.Error() {
			t.Fatalf("%q and %v, split %q and %v", whole, wholeErr, split, splitErr)
		}
	})
}

func decodeAll(r io.Reader) (string, error) {
	d := NewDecoder(r, 4000)
	var all strings.Builder
	var event Event
	for {
		if err := d.Next(&event); err != nil {
			return all.String(), err
		}
		all.WriteString(string(event.ID) + "|" + string(event.Name) + "|" + string(event.Data) + "\n")
	}
}
