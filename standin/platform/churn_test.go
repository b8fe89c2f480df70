package platform_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/roster"
	"gorseline/core/route"
)

// churn changes the configuration and the list of targets of a fixture at random. Each change
// that an instance handles occurs: routes and services are removed, moved, split and restored,
// limits grow and shrink, and targets leave, return, restart and swap addresses.
type churn struct {
	*fixture
	rng     *rand.Rand
	version core.Revision
	list    []core.Registration
}

// change applies one random change.
func (c *churn) change() {
	c.version++
	c.forwarder.Configure(route.NewTable(c.configuration()))
	now := c.forwarder.Clock.Now()
	for _, change := range c.roster.Replace(now, uint64(c.version), c.targets()) {
		switch change.Kind {
		case roster.Restarted, roster.Removed, roster.Moved:
			c.forwarder.Loads.RemoveTarget(change.Registration.ID)
			c.forwarder.Health.Forget(change.Registration.ID)
			c.forwarder.Pool.DiscardIdle(change.Registration.Address)
		}
		c.forwarder.Loads.SetCapacity(change.Registration.ID, c.rng.IntN(2)*100_000)
	}
	c.forwarder.Pool.CloseExpired(time.Now().Add(time.Duration(c.rng.IntN(10)) * time.Second))
	c.budgets.SetInstances(c.rng.IntN(3))
}

func (c *churn) configuration() *core.Forwarding {
	table := configuration(c.version)
	table.MaxBodyBytes = []int64{0, 100, 1 << 20}[c.rng.IntN(3)]
	for i := range table.Routes {
		r := &table.Routes[i]
		r.Attempts = 1 + c.rng.IntN(3)
		r.Objective = []time.Duration{0, time.Millisecond, routeObjective}[c.rng.IntN(3)]
		r.PauseObjective = []time.Duration{0, 50 * time.Millisecond}[c.rng.IntN(2)]
		r.Resumable = c.rng.IntN(2) == 0
		switch c.rng.IntN(6) {
		case 0:
			r.Splits = []core.Split{{Service: "calls", Weight: 1}, {Service: "models", Weight: 1}}
		case 1:
			r.Splits = []core.Split{{Service: "absent", Weight: c.rng.IntN(2)}, {Service: r.Splits[0].Service, Weight: c.rng.IntN(2)}}
		case 2:
			r.Prefix = "/moved/"
		}
		if !slices.ContainsFunc(r.Splits, func(s core.Split) bool { return s.Service == "models" }) {
			// A stream would be cut at these timeouts; an answer of known length is whole or none.
			r.Timeout = []time.Duration{time.Millisecond, 20 * time.Millisecond, routeTimeout}[c.rng.IntN(3)]
		}
	}
	models := table.Services["models"]
	switch c.rng.IntN(5) {
	case 0:
		models.Engine = nil
	case 1:
		models.Engine = &core.EngineLimits{}
	case 2:
		models.MaxConnections = 1
	}
	table.Services["models"] = models
	if c.rng.IntN(4) == 0 {
		delete(table.Services, []core.Service{"calls", "models"}[c.rng.IntN(2)])
	}
	return table
}

// targets returns a random part of the targets, some with a new start, another state or the
// address of the next one.
func (c *churn) targets() []core.Registration {
	var list []core.Registration
	for i, r := range c.list {
		switch c.rng.IntN(6) {
		case 0:
			continue
		case 1:
			r.Started, c.list[i].Started = r.Started+1, r.Started+1
		case 2:
			r.Leaving = true
		case 3:
			r.Address = c.list[(i+1)%len(c.list)].Address
		}
		r.Slots = 1 + c.rng.IntN(8)
		list = append(list, r)
	}
	return list
}

// churnCaller sends requests on a connection that it keeps as long as the server does.
type churnCaller struct {
	address string
	rng     *rand.Rand
	name    string
	conn    net.Conn
	reader  *bufio.Reader
}

// run sends the given number of rounds of requests. It returns an error for the first whole
// request that got neither an answer nor a refusal.
func (c *churnCaller) run(rounds int) error {
	for i := range rounds {
		if c.conn == nil {
			conn, err := net.Dial("tcp4", c.address)
			if err != nil {
				return err
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		// Some callers send a second request without waiting for the first answer.
		whole := 0
		for whole < 1+c.rng.IntN(4)/3 && c.write(c.id(i, whole)) == nil {
			whole++
		}
		closes := whole == 0 // the server refused a request before it was whole
		for n := 0; n < whole && !closes; n++ {
			var err error
			if closes, err = c.read(c.id(i, n)); err != nil {
				return err
			}
		}
		if closes {
			_ = c.conn.Close()
			c.conn = nil
		}
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
	return nil
}

func (c *churnCaller) id(round, number int) string {
	return fmt.Sprintf("%s-%d-%d", c.name, round, number)
}

// write sends a request whose body arrives at once, in pieces or in chunks.
func (c *churnCaller) write(id string) error {
	path := []string{"once", "safe", "resumable", "single", "moved"}[c.rng.IntN(5)]
	var head strings.Builder
	fmt.Fprintf(&head, "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n", path, id)
	if c.rng.IntN(3) > 0 {
		head.WriteString("X-Model: m\r\nX-Token-Count: 3000,8\r\nX-Prompt-Prefix: ab:2500,cd:500\r\n")
	}
	if c.rng.IntN(4) == 0 {
		head.WriteString("X-Deadline-Ms: 2000\r\n")
	}
	body := strings.Repeat("b", 50+c.rng.IntN(150))
	if c.rng.IntN(3) > 0 {
		_, err := fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head.String(), len(body), body)
		return err
	}
	if _, err := fmt.Fprintf(c.conn, "%sTransfer-Encoding: chunked\r\n\r\n", head.String()); err != nil {
		return err
	}
	chunks := httputil.NewChunkedWriter(c.conn)
	for _, part := range []string{body[:20], body[20:40], body[40:]} {
		time.Sleep(time.Duration(c.rng.IntN(10)) * time.Millisecond)
		if _, err := io.WriteString(chunks, part); err != nil {
			return err
		}
	}
	_ = chunks.Close() // never fails
	_, err := io.WriteString(c.conn, "\r\n")
	return err
}

// read reads a complete answer, and whether the server closes the connection after it.
func (c *churnCaller) read(id string) (closes bool, err error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(4 * routeTimeout)) // if it fails, the test times out
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false, fmt.Errorf("%s: no answer: %w", id, err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return false, fmt.Errorf("%s: answer %d ends after %q: %w", id, answer.StatusCode, body, err)
	}
	if answer.StatusCode == http.StatusOK && !bytes.Contains(body, []byte(id)) {
		return false, fmt.Errorf("%s: answer to another request: %q", id, body)
	}
	return answer.Close, nil
}

// logText collects log lines.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logText) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// Guards against whole requests that get neither an answer nor a refusal while the
// configuration and the targets change.
func TestChangesLoseNoRequest(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFixture(t, "", "", "", "prefill", "decode", "decode")
			errorLog := &logText{}
			f.server.Config.ErrorLog = stdlog.New(errorLog, "", 0)
			c := &churn{fixture: f, rng: rand.New(rand.NewPCG(seed, 30)), version: 1}
			for i, phase := range []string{"", "", "", "prefill", "decode", "decode"} {
				f.targets[i].SetProcessingTime(time.Duration(5*i) * time.Millisecond)
				c.list = append(c.list, registration(f.targets[i], phase))
			}
			var callers sync.WaitGroup
			for i := range 12 {
				caller := &churnCaller{address: f.server.Listener.Addr().String(), rng: rand.New(rand.NewPCG(seed, uint64(i))), name: fmt.Sprint(i)}
				callers.Go(func() {
					if err := caller.run(60); err != nil {
						t.Error(err)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				callers.Wait()
			}()
			for isDone := false; !isDone; {
				select {
				case <-done:
					isDone = true
				case <-time.After(time.Duration(c.rng.IntN(3000)) * time.Microsecond):
					c.change()
				}
			}
			f.closeServer() // waits for the handlers, which may still write to the log
			if text := errorLog.text.String(); text != "" {
				t.Errorf("the server logged: %s", text)
			}
			for _, e := range f.logs.Entries {
				// A read that ends with the request's deadline reports that instead.
				if text, ok := e.Fields["Error"].(string); ok && strings.HasPrefix(text, "read answer") && strings.Contains(text, net.ErrClosed.Error()) {
					t.Errorf("request %v lost its connection to target %v: %s", e.Fields["Request"], e.Fields["Target"], text)
				}
			}
		})
	}
}
