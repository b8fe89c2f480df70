package digest

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gorseline/core"
	"gorseline/io/target"
)

// servePeer answers the request of each connection with a compressed snapshot, with the given lines in the
// header, and ends the connection.
func servePeer(t *testing.T, lines string, snapshot []byte) (address string) {
	t.Helper()
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(snapshot); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", lines, compressed.Len())
		_, _ = io.Copy(conn, &compressed)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// snapshotOfSize returns an encoded list of targets of a size in bytes.
func snapshotOfSize(t *testing.T, size int) []byte {
	t.Helper()
	encode := func(length int) []byte {
		data, err := cbor.Marshal(TargetList{Version: 1, Lapsed: []core.TargetID{core.TargetID(strings.Repeat("a", length))}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	data := encode(size / 2)
	data = encode(size/2 + size - len(data))
	if len(data) != size {
		t.Fatalf("the snapshot takes %d bytes", len(data))
	}
	return data
}

// Guards against a snapshot that exceeds its bound once it is uncompressed, and of which the beginning is
// taken for the whole.
func TestSnapshotBeyondItsBoundIsAnError(t *testing.T) {
	whole := snapshotOfSize(t, maxSnapshotSize)
	if _, err := fetchSnapshot[TargetList](t.Context(), servePeer(t, "", whole), pathTargets); err != nil {
		t.Errorf("a snapshot within the bound gives %v", err)
	}
	longer := slices.Concat(whole, make([]byte, 16<<20))
	if _, err := fetchSnapshot[TargetList](t.Context(), servePeer(t, "", longer), pathTargets); !errors.Is(err, target.ErrBodyTooLong) {
		t.Errorf("a snapshot beyond the bound gives %v", err)
	}
}

// Guards against a malformed answer of a peer that is taken for a snapshot.
func TestMalformedAnswersAreNoSnapshots(t *testing.T) {
	snapshot := snapshotOfSize(t, 1<<10)
	if _, err := fetchSnapshot[TargetList](t.Context(), servePeer(t, "", snapshot), pathTargets); err != nil {
		t.Errorf("a proper answer gives %v", err)
	}
	for _, lines := range []string{"Bad Name: x\r\n", "A: b\r\n folded\r\n", "A: " + strings.Repeat("b", 1<<20) + "\r\n"} {
		if _, err := fetchSnapshot[TargetList](t.Context(), servePeer(t, lines, snapshot), pathTargets); err == nil {
			t.Errorf("an answer with %.20q is taken", lines)
		}
	}
}
