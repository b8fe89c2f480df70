package platform_test

import (
	"fmt"
	"net/http"
	"testing"

	"gorseline/standin/platform"
)

// Guards against an answer that names no request and is taken for that of the request, although it may be
// the late one to an earlier request on the connection.
func TestUnnamedAnswerOnUsedConnectionIsNotTaken(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nX-Upstream-Stamp: late\r\nContent-Length: 4\r\n\r\nlate"
	t.Run("once", func(t *testing.T) {
		f := newFixture(t, "")
		if got := f.do(t.Context(), http.MethodGet, "/once/x", "r0", ""); got.status != http.StatusOK {
			t.Fatalf("%+v", got)
		}
		f.targets[0].SetLeftover(late)
		if got := f.do(t.Context(), http.MethodGet, "/once/x", "r1", ""); got.status != http.StatusBadGateway || got.body != "" {
			t.Errorf("%+v", got)
		}
	})
	t.Run("repeatable", func(t *testing.T) {
		f := newFixture(t, "", "")
		for i := range 8 {
			got := f.do(t.Context(), http.MethodGet, "/safe/x", fmt.Sprint("r", i), "")
			if got.status != http.StatusOK || got.body != fmt.Sprint("answer to r", i) {
				t.Errorf("%+v", got)
			}
			if i == 3 {
				f.targets[0].SetLeftover(late)
			}
		}
	})
}

// Guards against used connections to a target that names no requests: its answers couldn't be told from late
// ones.
func TestConnectionOfUnnamedAnswerIsNotUsedAgain(t *testing.T) {
	f := newFixture(t, "")
	f.targets[0].SetUnnamed(true)
	for i := range 3 {
		if got := f.do(t.Context(), http.MethodGet, "/once/x", fmt.Sprint("r", i), ""); got.status != http.StatusOK {
			t.Errorf("%+v", got)
		}
	}
	if n := f.targets[0].ConnectionCount(); n != 3 {
		t.Errorf("%d connections for 3 requests", n)
	}
}

// Guards against a refused answer without an ID on a connection that had no other request: the one with which
// a target was probed at the unstated end of an earlier answer.
func TestUnnamedAnswerOnProbedConnectionIsTaken(t *testing.T) {
	f := newFixture(t, "")
	f.targets[0].SetUnnamed(true)
	f.targets[0].SetLastingFault(platform.Unframed, 1)
	for i := range 4 {
		id := fmt.Sprint("r", i)
		if got := f.do(t.Context(), http.MethodPost, "/once/x", id, ""); got.status != http.StatusOK || got.body != "answer to "+id {
			t.Errorf("%+v", got)
		}
	}
}
