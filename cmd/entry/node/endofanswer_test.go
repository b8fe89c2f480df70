package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	standin "gorseline/standin/platform"
)

// Guards against servers that don't relay an answer in its framing or can't reset a broken one: a caller
// would take a part of it for the whole.
func TestServerRelaysUnstatedEnds(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	for fault, want := range map[standin.RequestFault]error{standin.Unframed: nil, standin.UnframedReset: syscall.ECONNRESET} {
		for _, tg := range s.targets[:2] {
			tg.SetLastingFault(fault, 1)
		}
		conn, err := net.Dial("tcp", i.settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		request := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-%s\r\nContent-Length: 0\r\n\r\n"
		if _, err := fmt.Fprintf(conn, request, fault); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(conn)
		if !errors.Is(err, want) || !strings.HasPrefix(string(got), "HTTP/1.1 200") || strings.Contains(string(got), "chunked") {
			t.Errorf("%s: %q, %v", fault, got, err)
		}
	}
}
