package target_test

import (
	"context"
	"crypto/x509"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gorseline/io/target"
)

// headLimit is the size in bytes within which the head of an answer must end.
const headLimit = 64 << 10

// headCase is an answer of a target, which ends the connection after it.
type headCase struct {
	raw string
	// want is the status and the body of the answer; empty if raw is no answer.
	want string
}

// ok is an answer of 200 with the given lines in its head and a body of two bytes.
func ok(lines string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + lines + "\r\nok" }

const (
	final    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	inChunks = "3\r\nabc\r\n0\r\n\r\n"
)

// headCases returns answers that have to be taken and bytes that are no answer.
func headCases() map[string]headCase {
	cases := map[string]headCase{
		"length":                    {final, "200 ok"},
		"no reason":                 {"HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "200 ok"},
		"no reason and no blank":    {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "200 ok"},
		"reason of obs-text":        {"HTTP/1.1 200 \xc3\xa9 \t!\r\nContent-Length: 2\r\n\r\nok", "200 ok"},
		"lines end in LF":           {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "200 ok"},
		"no fields":                 {"HTTP/1.1 200 OK\r\n\r\nok", "200 ok"},
		"connection":                {"HTTP/1.0 200 OK\r\nA: b\r\n\r\nok", "200 ok"},
		"chunks":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n" + inChunks, "200 abc"},
		"empty value":               {ok("A:\r\nB: \r\n"), "200 ok"},
		"blanks around a value":     {ok("A: \t b \t\r\n"), "200 ok"},
		"no blank before a value":   {ok("A:b\r\n"), "200 ok"},
		"value of obs-text":         {ok("A: \x80\xff\xe9\r\n"), "200 ok"},
		"name of all token signs":   {ok("!#$%&'*+-.^_`|~09azAZ: b\r\n"), "200 ok"},
		"colons in a value":         {ok("A: b:c::\r\n"), "200 ok"},
		"length twice":              {ok("Content-Length: 2\r\n"), "200 ok"},
		"no content":                {"HTTP/1.1 204 No Content\r\n\r\n", "204 "},
		"no content, length 0":      {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "204 "},
		"not modified, with length": {"HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n", "304 "},
		"status 599":                {"HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nok", "599 ok"},
		"interim":                   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n" + final, "200 ok"},
		"long head":                 {ok("A: " + strings.Repeat("b", headLimit-100) + "\r\n"), "200 ok"},
		"many fields":               {ok(strings.Repeat("A: b\r\n", 1000)), "200 ok"},

		"HTTP/2.0":                 {"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"HTTP/0.9":                 {"HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"HTTP/1":                   {"HTTP/1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"HTTP/1.x":                 {"HTTP/1.x 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"HTTP/1.10":                {"HTTP/1.10 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"http/1.1":                 {"http/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"blanks before a status":   {"HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\nok", ""},
		"control byte in a reason": {"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\nok", ""},
		"CR in a reason":           {"HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n\r\nok", ""},
		"no status line":           {"Content-Length: 2\r\n\r\nok", ""},
		"empty line first":         {"\r\n" + final, ""},

		"blank in a name":        {ok("Bad Name: x\r\n"), ""},
		"control byte in a name": {ok("Bad\x01Name: x\r\n"), ""},
		"NUL in a name":          {ok("Bad\x00Name: x\r\n"), ""},
		"obs-text in a name":     {ok("Bad\xe9: x\r\n"), ""},
		"no token in a name":     {ok("Bad(Name): x\r\n"), ""},
		"empty name":             {ok(": x\r\n"), ""},
		"no colon":               {ok("Bad\r\n"), ""},
		"blank before a colon":   {ok("Bad : x\r\n"), ""},
		"tab before a colon":     {ok("Bad\t: x\r\n"), ""},
		"blank in a length":      {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", ""},
		"blank in a coding":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + inChunks, ""},
		"folded line":            {ok("A: b\r\n c\r\n"), ""},
		"folded by a tab":        {ok("A: b\r\n\tc: d\r\n"), ""},
		"folded first line":      {"HTTP/1.1 200 OK\r\n A: b\r\nContent-Length: 2\r\n\r\nok", ""},
		"line of a blank":        {ok("A: b\r\n \r\n"), ""},
		"control byte in value":  {ok("A: b\x01c\r\n"), ""},
		"NUL in a value":         {ok("A: b\x00c\r\n"), ""},
		"DEL in a value":         {ok("A: b\x7fc\r\n"), ""},
		"CR in a value":          {ok("A: b\rc: d\r\n"), ""},
		"two CR at an end":       {ok("A: b\r\r\n"), ""},

		"two lengths":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", ""},
		"list of lengths":        {"HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", ""},
		"empty length":           {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok", ""},
		"signed length":          {"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok", ""},
		"negative length":        {"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", ""},
		"length in hex":          {"HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok", ""},
		"huge length":            {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nok", ""},
		"length and chunks":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks, ""},
		"chunks and length":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n" + inChunks, ""},
		"two codings":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + inChunks, ""},
		"chunks twice":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks, ""},
		"unknown coding":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + inChunks, ""},
		"empty coding":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nok", ""},
		"chunks with HTTP/1.0":   {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks, ""},
		"no content with length": {"HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok", ""},
		"no content with chunks": {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks, ""},
		"interim with length":    {"HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" + final, ""},
		"interim with bad name":  {"HTTP/1.1 100 Continue\r\nBad Name: x\r\n\r\n" + final, ""},
		"short body":             {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", ""},
		"short head":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", ""},
		"head too long":          {ok("A: " + strings.Repeat("b", headLimit) + "\r\n"), ""},
		"fields too long":        {ok(strings.Repeat("A: b\r\n", headLimit/6)), ""},
		"interim too long":       {strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", headLimit/25) + final, ""},
	}
	for _, status := range []string{"000", "001", "099", "600", "999", "1000", "+20", "-20", "20", "2 0", "2x0", " ", "0x1"} {
		cases["status "+status] = headCase{"HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok", ""}
	}
	// The bytes after these aren't a second head.
	for _, status := range []string{"000", "099", "101", "104", "199"} {
		cases["status "+status+" before an answer"] = headCase{"HTTP/1.1 " + status + " X\r\n\r\n" + final, ""}
	}
	return cases
}

// slowConn returns the bytes of a connection one by one.
type slowConn struct{ net.Conn }

// Read reads at most one byte.
func (c *slowConn) Read(b []byte) (int, error) { return c.Conn.Read(b[:min(len(b), 1)]) }

// serveRaw answers each request with raw and ends the connection.
func serveRaw(t *testing.T, raw string) (address string) {
	t.Helper()
	return listen(t, 0, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(conn, raw)
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // the answer must not be lost to a reset
		_ = conn.Close()
	})
}

// readWith returns the status and the body of an answer, or why there is none.
type readWith func(t *testing.T, address string, dial target.DialFunc) (string, error)

func readWithPool(t *testing.T, address string, dial target.DialFunc) (string, error) {
	t.Helper()
	answer, err := target.NewPool(target.PoolOptions{Dial: dial}).Do(t.Context(), &target.Request{
		Address: address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Deadline: time.Now().Add(20 * time.Second),
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	return strconv.Itoa(answer.Status) + " " + string(body), err
}

func readWithTransport(t *testing.T, address string, dial target.DialFunc) (string, error) {
	t.Helper()
	transport := target.NewTransport(target.TransportOptions{Dial: dial})
	defer transport.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.Do(new(target.Attempt), req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return strconv.Itoa(resp.StatusCode) + " " + string(body), err
}

// Guards against bytes that are no answer and that callers get as one, and against answers that are
// refused.
func TestOnlyAnswersAreTaken(t *testing.T) {
	slow := func(dial target.DialFunc) target.DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return &slowConn{conn}, err
		}
	}
	dial := target.NewDialer().DialContext
	clients := map[string]readWith{"Pool": readWithPool, "Transport": readWithTransport}
	for client, read := range clients {
		for name, test := range headCases() {
			t.Run(client+"/"+name, func(t *testing.T) {
				t.Parallel()
				address := serveRaw(t, test.raw)
				for pieces, dial := range map[string]target.DialFunc{"at once": dial, "byte by byte": slow(dial)} {
					got, err := read(t, address, dial)
					if isAnswer := test.want != ""; isAnswer != (err == nil) || isAnswer && got != test.want {
						t.Errorf("%s: got %.80q, %v", pieces, got, err)
					}
				}
			})
		}
	}
}

// Guards against a TLS handshake that is taken for a malformed answer.
func TestHandshakeIsNoAnswer(t *testing.T) {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	defer server.Close()
	transport := target.NewTransport(target.TransportOptions{})
	defer transport.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err == nil {
		_ = resp.Body.Close() // the certificate must have been refused
	}
	if unknown := (x509.UnknownAuthorityError{}); !errors.As(err, &unknown) {
		t.Errorf("got %v, want an unknown authority", err)
	}
}

// Guards against bytes that are no answer and whose end is taken for a target that was lost while it
// answered.
func TestEndAfterOtherBytesIsNoLossOfAnAnswer(t *testing.T) {
	for raw, isCut := range map[string]bool{"HTTP": true, "HTTP/1.1 20": true, final[:20]: true, "HTML": false, "\x00": false, "no answer": false} {
		_, err := readWithPool(t, serveRaw(t, raw), nil)
		if err == nil || errors.Is(err, io.ErrUnexpectedEOF) != isCut {
			t.Errorf("%q gives %v", raw, err)
		}
	}
}
