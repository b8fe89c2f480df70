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

// Guards against idle connections of many instances that together exceed the connection
// limit of a target, which would then reset connections with requests in flight.
func TestIdleConnectionsAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		poolMax, requestMax, want int
	}{
		"bound of the request":    {16, 2, 2},
		"bound of the pool":       {3, 0, 3},
		"lower bound of the pool": {3, 8, 3},
	} {
		t.Run(name, func(t *testing.T) {
			const calls = 6
			var open atomic.Int64
			var allStarted sync.WaitGroup
			allStarted.Add(calls)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				allStarted.Done()
				allStarted.Wait()
				_, _ = io.WriteString(w, "done") // the test fails at the client if this fails
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
			pool := target.NewPool(target.PoolOptions{MaxIdle: test.poolMax})
			var done sync.WaitGroup
			for range calls {
				done.Go(func() {
					answer, err := pool.Do(t.Context(), &target.Request{
						Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, URI: "/", Host: "h",
						Header: http.Header{}, Deadline: time.Now().Add(5 * time.Second), MaxIdle: test.requestMax,
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
