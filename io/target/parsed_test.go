package target

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net/http"
	"testing"
)

// Guards against a header that passes the check and means something else to the parser.
func TestCheckedHeadersAreParsedAlike(t *testing.T) {
	heads := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: a/b\r\nConnection: close\r\n\r\n",
		"HTTP/1.0 404 \r\nTarget-Limit: 2\r\nContent-Length: 12\r\ncontent-length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nA:\n\n",
		"HTTP/1.1 103 X\r\nLink: a\r\n\r\nHTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 X\r\nContent-Length: 12\r\nTransfer-Encodin: chunked\r\n\r\n",
	}
	const signs = " \t\r\n:,;+-0129aAgHT/.\x00\x01\x7f\x80\xff"
	rng := rand.New(rand.NewPCG(58, 1))
	passed := 0
	for range 200_000 {
		head := []byte(heads[rng.IntN(len(heads))])
		for range 1 + rng.IntN(3) {
			at := rng.IntN(len(head))
			switch rng.IntN(3) {
			case 0:
				head[at] = signs[rng.IntN(len(signs))]
			case 1:
				head = append(head[:at], head[at+1:]...)
			case 2:
				head = append(head[:at], append([]byte{signs[rng.IntN(len(signs))]}, head[at:]...)...)
			}
		}
		var scanner headScanner
		n, err := scanner.scan(head)
		if err != nil || !scanner.isDone {
			continue
		}
		reader := bufio.NewReader(bytes.NewReader(head))
		response, err := parseHeader(reader, http.MethodGet) //nolint:bodyclose // its body is not read
		if err != nil {
			continue // the parser may be stricter
		}
		passed++
		length := scanner.length
		hasBody := scanner.status != http.StatusNoContent && scanner.status != http.StatusNotModified
		if hasBody && !scanner.hasLength {
			length = -1
		}
		isChunked := len(response.TransferEncoding) > 0
		isLengthAlike := !hasBody || response.ContentLength == length
		if response.StatusCode != scanner.status || isChunked != scanner.isChunked || !isLengthAlike || reader.Buffered() != len(head)-n {
			t.Fatalf("%q is parsed as %d, %d bytes, %v, rest %d of %d", head, response.StatusCode, response.ContentLength,
				response.TransferEncoding, reader.Buffered(), len(head)-n)
		}
		for name := range response.Header {
			if !isToken([]byte(name)) {
				t.Fatalf("%q has the name %q", head, name)
			}
		}
	}
	t.Logf("%d headers passed", passed)
	if passed < 1000 {
		t.Errorf("only %d headers passed", passed)
	}
}
