package target

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// Guards against bodies that are decoded otherwise than by net/http, however they are split on the way.
func TestChunkedBodyIsDecodedAsByNetHTTP(t *testing.T) {
	rng := rand.New(rand.NewPCG(30, 2))
	for i := range 500 {
		var wire strings.Builder
		for range rng.IntN(6) {
			data := strings.Repeat("event\r\n\r\n", 1+rng.IntN(300))[:1+rng.IntN(2000)%9]
			data += strings.Repeat("x", rng.IntN(3000))
			fmt.Fprintf(&wire, "%x%s\r\n%s\r\n", len(data), []string{"", ";a=b", " "}[rng.IntN(3)], data)
		}
		wire.WriteString([]string{"0\r\n\r\n", "0\r\nTrailer: a\r\n\r\n", "00;a\r\n\r\n"}[rng.IntN(3)])
		text := wire.String()
		if rng.IntN(2) == 0 {
			text = text[:rng.IntN(len(text))] // the connection breaks
		}
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text)))
		for name, split := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "data with error": iotest.DataErrReader,
		} {
			got, err := io.ReadAll(&chunkedBody{reader: bufio.NewReaderSize(split(strings.NewReader(text)), readBufferSize)})
			isTrailerCut := wantErr == nil && err != nil && !strings.HasSuffix(text, "\r\n\r\n")
			if string(got) != string(want) || (err == nil) != (wantErr == nil) && !isTrailerCut {
				t.Fatalf("body %d (%s): %d bytes, %v; want %d bytes, %v", i, name, len(got), err, len(want), wantErr)
			}
		}
	}
}

// Guards against malformed bodies that are taken for complete ones, and against bytes of the next
// answer that are taken for the trailer.
func TestMalformedChunksAreErrors(t *testing.T) {
	for _, text := range []string{
		"", "0", "0\r\n", "0\r\nA: b\r\n", "x\r\n\r\n", "-1\r\n\r\n", "+0\r\n\r\n", "\r\n0\r\n\r\n", "0\n\n", "1\r\nab\r\n0\r\n\r\n", "1\r\na0\r\n\r\n",
		"8000000000000000\r\na", "10000000000000000\r\na", "1\r\na\r\n0\r\n" + strings.Repeat("A: b\r\n", maxTrailer/4) + "\r\n",
		strings.Repeat("0", 2*readBufferSize) + "\r\n\r\n",
	} {
		if _, err := io.ReadAll(&chunkedBody{reader: bufio.NewReaderSize(strings.NewReader(text), readBufferSize)}); err == nil {
			t.Errorf("no error for %.40q", text)
		}
	}
	reader := bufio.NewReader(strings.NewReader("1\r\na\r\n0\r\n\r\nHTTP/1.1 200 OK"))
	if got, err := io.ReadAll(&chunkedBody{reader: reader}); err != nil || string(got) != "a" || reader.Buffered() != 15 {
		t.Errorf("%q, %v, %d bytes left", got, err, reader.Buffered())
	}
}

// Guards against data that is held back until a chunk or its size is whole.
func TestChunkedBodyReturnsWhatHasArrived(t *testing.T) {
	for _, rest := range []string{"", "\r", "\r\n", "\r\n5", "\r\n5\r", "\r\n5\r\n", "\r\n0\r\n", "\r\n0\r\nA: b\r\n"} {
		client, server := net.Pipe()
		_ = client.SetReadDeadline(time.Now().Add(time.Second)) // a pipe supports deadlines
		body := &chunkedBody{reader: bufio.NewReader(client)}
		go func() { _, _ = io.WriteString(server, "3\r\nabc"+rest) }() // the test ends both ends
		buffer := make([]byte, 100)
		if n, err := body.Read(buffer); err != nil || body.err != nil || string(buffer[:n]) != "abc" {
			t.Errorf("%q, %v before %q", buffer[:n], err, rest)
		}
		_, _ = client.Close(), server.Close()
	}
}

// Guards against bytes of the next answer that are taken for the trailer and are lost with it.
func TestTrailerHasOnlyFields(t *testing.T) {
	for trailer, isTrailer := range map[string]bool{
		"": true, "A: b\r\n": true, "A:\r\nB: c\r\n": true,
		"HTTP/1.1 200 OK\r\n": false, "A : b\r\n": false, " a\r\n": false, "A: b\x00\r\n": false, "a\r\n": false,
	} {
		text := "2\r\nok\r\n0\r\n" + trailer + "\r\n"
		_, err := io.ReadAll(&chunkedBody{reader: bufio.NewReaderSize(strings.NewReader(text), readBufferSize)})
		if (err == nil) != isTrailer {
			t.Errorf("%q: %v", trailer, err)
		}
	}
}
