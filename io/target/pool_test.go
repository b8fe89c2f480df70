package target_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gorseline/io/target"
)

// Guards against unused connections of many instances that together pass what a target
// accepts: it would reset the connections of requests under way.
func TestUnusedConnectionsAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		poolMost, requestMost, want int
	}{
		"bound of the request":     {16, 2, 2},
		"bound of the pool":        {3, 0, 3},
		"the pool's is the lesser": {3, 8, 3},
	} {
		t.Run(name, func(t *testing.T) {
			const calls = 6
			var open atomic.Int64
			var together sync.WaitGroup
			together.Add(calls)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				together.Done()
				together.Wait()
				_, _ = io.WriteString(w, "done") // a caller that left is none of the test's
			}))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				switch s {
				case http.StateNew:
					open.Add(1)
				case http.StateClosed:
					open.Add(-1)
				}
			}
			server.Start()
			defer server.Close()
			pool := target.NewPool(target.PoolOptions{MaxIdle: test.poolMost})
			var done sync.WaitGroup
			for range calls {
				done.Go(func() {
					answer, err := pool.Do(t.Context(), &target.Request{
						Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, URI: "/", Host: "h",
						Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second), MaxIdle: test.requestMost,
					})
					if err != nil {
						t.Error(err)
						return
					}
					if _, err := io.ReadAll(answer.Body); err != nil {
						t.Error(err)
					}
					answer.Finish()
				})
			}
			done.Wait()
			deadline := time.Now().Add(2 * time.Second)
			for open.Load() != int64(test.want) && time.Now().Before(deadline) {
				time.Sleep(5 * time.Millisecond)
			}
			if got := open.Load(); got != int64(test.want) {
				t.Errorf("%d connections are kept, want %d", got, test.want)
			}
		})
	}
}
