package io_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gorseline/core"
	"gorseline/io/engine"
	"gorseline/io/instancelist"
	"gorseline/io/object"
	"gorseline/io/operator"
	"gorseline/io/service"
	"gorseline/io/table"
)

// serveRaw answers the request of each connection with the same bytes and ends the connection.
func serveRaw(t *testing.T, raw string) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, raw)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// raw returns an answer of 200 with the given lines of the header and body.
func raw(lines, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body)
}

// clientCall is a call of a client to an address, with the body of an answer to it.
type clientCall struct {
	body  string
	lines string
	call  func(ctx context.Context, address string) error
	// limit bounds the body; 0 is a limit of the protocol's library.
	limit int
}

var errNotCalled = errors.New("call without a result")

func clientCalls() map[string]clientCall {
	return map[string]clientCall{
		"table": {`{"rows":[{}]}`, "", func(ctx context.Context, address string) error {
			_, err := table.NewClient(table.ClientOptions{URL: "http://" + address}).Read(ctx, "k")
			return err
		}, table.MaxBodyBytes},
		"object": {`["k"]`, "", func(ctx context.Context, address string) error {
			_, err := object.NewClient("http://"+address, nil).List(ctx, "", 1)
			return err
		}, 8 << 20},
		"instance list": {`[]`, "", func(ctx context.Context, address string) error {
			_, err := instancelist.NewClient(instancelist.ClientOptions{URL: "http://" + address}).Instances(ctx)
			return err
		}, 4 << 20},
		"operator": {`{}`, "Content-Type: application/json\r\n", func(ctx context.Context, address string) error {
			_, err := operator.NewClient("http://"+address, nil).Status(ctx)
			return err
		}, 0},
		"load of an engine": {`{"running":1}`, "", func(ctx context.Context, address string) error {
			_, err := engine.NewClient(engine.Options{Name: "i"}).Load(ctx, address)
			return err
		}, 1 << 20},
		"service": {`{}`, "", func(ctx context.Context, address string) error {
			return service.NewClient(service.Options{}).Call(ctx, address, core.ServiceCall{Method: http.MethodPost, Path: "/"}).Err
		}, 8 << 20},
		"order of an engine": {"", "", func(ctx context.Context, address string) error {
			if engine.NewClient(engine.Options{Name: "i"}).Order(ctx, address, core.Order{}) != core.OrderAccepted {
				return errNotCalled
			}
			return nil
		}, 0},
	}
}

// Guards against a malformed answer that a client takes for one.
func TestClientsTakeNoMalformedAnswers(t *testing.T) {
	for name, c := range clientCalls() {
		t.Run(name, func(t *testing.T) {
			if err := c.call(t.Context(), serveRaw(t, raw(c.lines, c.body))); err != nil {
				t.Fatalf("a proper answer gives %v", err)
			}
			for fault, answer := range map[string]string{
				"blank in a name":    raw(c.lines+"Bad Name: x\r\n", c.body),
				"folded line":        raw(c.lines+"A: b\r\n folded\r\n", c.body),
				"blank before colon": raw(c.lines+"A : b\r\n", c.body),
				"interim status 199": "HTTP/1.1 199 \r\n\r\n" + raw(c.lines, c.body),
				"head of 1 MiB":      raw(c.lines+"A: "+strings.Repeat("b", 1<<20)+"\r\n", c.body),
			} {
				if err := c.call(t.Context(), serveRaw(t, answer)); err == nil {
					t.Errorf("%s: taken for an answer", fault)
				}
			}
		})
	}
}

// Guards against a body that exceeds its bound and is taken for whole.
func TestClientsTakeNoBodyBeyondItsBound(t *testing.T) {
	for name, c := range clientCalls() {
		if c.limit == 0 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			fits := c.body + strings.Repeat(" ", c.limit-len(c.body))
			if err := c.call(t.Context(), serveRaw(t, raw(c.lines, fits))); err != nil {
				t.Errorf("a body within the bound gives %v", err)
			}
			if err := c.call(t.Context(), serveRaw(t, raw(c.lines, fits+" "))); err == nil {
				t.Error("a body beyond the bound is taken for whole")
			}
		})
	}
}
