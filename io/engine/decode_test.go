package engine

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// unusualEvents are fuzz seeds with malformed, escaped and unusual content.
var unusualEvents = []string{
	// events in the form that engines send
	`{"id":"e0-17","request_id":"r","attempt_id":"a/1","offset":123,"tokens":1,"choices":[{"index":0,"text":"premium "}]}`,
	`{"id":"e0-17","offset":8,"tokens":0,"choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":8}}`,
	`{"error":{"type":"cancelled","message":"the stream was cancelled"}}`,
	// strings
	`{"id":"\u0047\u00e4rten\n\t\"\\\/\b\f\r"}`, `{"id":"\ud83d\ude00"}`, `{"id":"\ud800x"}`, `{"id":"\udc00\ud800"}`,
	"{\"id\":\"a\xffb\"}", "{\"id\":\"\xed\xa0\x80\"}", "{\"id\":\"Gärten 😀\"}", "{\"id\":\"a\x01b\"}", "{\"id\":\"a\x00b\"}",
	"{\"id\":\"a\nb\"}", `{"id":"\q"}`, `{"id":"\u12"}`, `{"id":"\u12G4"}`, `{"id":"a`, `{"id":"a\`, `{"id":"a\"`, "{\"x\":\"\x01\"}", "{\"x\":\"\\q\"}",
	// names
	`{"ID":"x","OFFSET":3,"Choices":[{"TEXT":"a"}]}`, `{"id":"a","id":"b"}`, `{"\u0069d":"x"}`, `{"":1}`, `{"toKens":1,"to\u212Aens":2}`, "{\"to\u212Aens\":2}",
	"{\"u\u017Fage\":{\"completion_token\u017F\":2}}",
	// numbers
	`{"offset":1.0}`, `{"offset":1e2}`, `{"offset":01}`, `{"offset":-0}`, `{"offset":-5}`, `{"offset":-}`, `{"offset":+1}`, `{"offset":.5}`,
	`{"offset":9223372036854775807}`, `{"offset":9223372036854775808}`, `{"offset":"3"}`, `{"offset":true}`, `{"x":1.}`, `{"x":1e}`, `{"x":01}`, `{"x":-}`,
	// types and nesting
	`{"id":null,"offset":null,"choices":null,"usage":null}`, `{"choices":[]}`, `{"choices":[{"text":"a"},{"text":"b"}]}`,
	`{"choices":[{"text":"a"},7]}`, `{"choices":{}}`, `{"choices":[null]}`, `{"choices":[7]}`, `{"id":7}`, `{"id":{}}`, `{"id":[]}`,
	`{"choices":[{"text":"a"}],"choices":[{"finish_reason":"b"}]}`, `{"choices":[{"text":"a"}],"choices":[]}`,
	`{"usage":{"completion_tokens":3},"usage":{}}`, `{"usage":{"completion_tokens":3},"usage":null}`, `{"usage":[]}`, `{"error":"x"}`, `{"error":{}}`,
	`null`, `true`, `7`, `"x"`, `[]`, `[{}]`, `{}`, ` { "id" : "a" , "offset" : 3 } `, "\t{\r\n}\n", "\ufeff{}", "{\v}",
	// truncation, separators and trailing data
	``, ` `, `{`, `}`, `{"id"`, `{"id":`, `{"id":"a",}`, `{"id":"a"}x`, `{"id":"a"}{}`, `{"id":"a"}]`, `{"id" "a"}`, `{"id":"a" "offset":1}`, `{,"id":"a"}`,
	`{"choices":[{"text":"a"},]}`, `{"choices":[,]}`, `{"choices":[{}`, `{"x":[1,2}`, `{"x":{]}`, `{"x":tru}`, `{"x":nul}`, `{"x":truex}`, `{"id":nulL}`, `{x:1}`, `{'id':'a'}`,
	`{"id":"a"/**/}`, `{"x":NaN}`, `{"x":[[[{"y":[{}]}]]]}`, "{\"id\":\"a\"}\x00", "{\"x\":1\x00}",
}

// FuzzDecodePiece guards against a decoder that disagrees with encoding/json: it yields
// other values, or accepts malformed events or rejects valid ones.
func FuzzDecodePiece(f *testing.F) {
	for _, event := range unusualEvents {
		f.Add([]byte(event))
	}
	for _, depth := range []int{9_998, 9_999, 10_000, 10_001, 30_000} { // encoding/json accepts 10,000 levels
		f.Add([]byte(`{"x":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var want, got wirePiece
		wantErr, gotErr := json.Unmarshal(data, &want), decodePiece(data, &got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("%q: %v, want %v", data, gotErr, wantErr)
		}
		if wantErr == nil && !reflect.DeepEqual(want, got) {
			t.Fatalf("%q: %+v, want %+v", data, got, want)
		}
	})
}

// Guards against pieces that alias the buffer of their event. A piece that is queued
// behind an earlier one would change when the buffer is reused for the next event.
func TestPieceDoesNotAliasEventBuffer(t *testing.T) {
	buffer := []byte(`{"id":"e0-17","attempt_id":"a/1","choices":[{"text":"premi\u0075m "}]}`)
	var first wirePiece
	if err := decodePiece(buffer, &first); err != nil {
		t.Fatal(err)
	}
	for i := range buffer {
		buffer[i] = 'x'
	}
	var second wirePiece
	if err := decodePiece([]byte(`{"id":"e9-99","attempt_id":"b/2","choices":[{"text":"quarte\u0072 "}]}`), &second); err != nil {
		t.Fatal(err)
	}
	if first.ID != "e0-17" || first.Attempt != "a/1" || first.Choices[0].Text != "premium " {
		t.Errorf("changed to %+v", first)
	}
}

func BenchmarkDecodePiece(b *testing.B) {
	b.ReportAllocs()
	data := []byte(unusualEvents[0])
	var piece wirePiece
	for b.Loop() {
		piece = wirePiece{}
		if err := decodePiece(data, &piece); err != nil {
			b.Fatal(err)
		}
	}
}
