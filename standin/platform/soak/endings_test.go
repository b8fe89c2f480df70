package soak

import (
	"io"
	"strings"
	"testing"
)

// Guards against a check of bodies that misses a part taken for the whole, or bytes of others.
func TestCheckBody(t *testing.T) {
	const (
		call   = "answer to r"
		events = "id: 0\ndata: piece 0 of r\n\nid: 1\ndata: piece 1 of r\n\n"
		rest   = "id: 2\ndata: piece 2 of r\n\nid: 3\ndata: piece 3 of r\n\n"
	)
	tests := []struct {
		name, route, body string
		err               error
		want              string
	}{
		{"whole call", "once", call, nil, ""},
		{"whole stream", "stream", events + rest, nil, ""},
		{"stream of a version", "stream", strings.ReplaceAll(events+rest, "of r", "of r by v2"), nil, ""},
		{"part of a call", "safe", "answer", nil, "MIXED"},
		{"empty call", "safe", "", nil, "MIXED"},
		{"broken call", "safe", "answer", io.ErrUnexpectedEOF, ""},
		{"more than the call", "once", call + "x", nil, "MIXED"},
		{"part of a stream", "single", events, nil, "ORDER"},
		{"broken stream", "single", events, io.ErrUnexpectedEOF, ""},
		{"broken event", "single", events + "id: 2\nda", io.ErrUnexpectedEOF, ""},
		{"broken event of a version", "single", events + "id: 2\ndata: piece 2 of r by v", io.ErrUnexpectedEOF, ""},
		{"error in a broken stream", "stream", events + "HTTP/1.1 500", io.ErrUnexpectedEOF, "MIXED"},
		{"error in a whole stream", "stream", events + "failed", nil, "MIXED"},
		{"number goes back", "stream", events + events, nil, "MIXED"},
		{"number goes back in a broken stream", "stream", events + events, io.ErrUnexpectedEOF, "MIXED"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := result{id: "r", stream: "r", route: test.route, status: 200, stamp: "i.r", body: test.body, err: test.err}
			if got, _, _ := strings.Cut(checkBody(&r), ":"); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
	if got := checkBody(&result{id: "r", route: "once", status: 200, body: call}); !strings.HasPrefix(got, "MIXED") {
		t.Errorf("got %q for a success without a stamp", got)
	}
}
