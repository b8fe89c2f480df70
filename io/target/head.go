package target

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// maxHeader bounds the header of an answer, with the interim answers before it, in bytes.
const maxHeader = 64 << 10

// maxQuoted bounds the part of a malformed line that its error quotes, in bytes.
const maxQuoted = 40

// errHeaderTooLong reports an answer whose header exceeds maxHeader.
var errHeaderTooLong = errors.New("answer header is too long")

// headScanner checks the bytes of an answer up to the end of its header, as they arrive. It is
// stricter than net/http, which takes bytes of a broken target for an answer or for a part of one: a
// header passes only if its status is that of an answer, each line has one meaning, and it states the
// end of the body in one way. The zero value expects an answer.
type headScanner struct {
	// line is the beginning of a line whose end has not arrived.
	line []byte
	// size is the number of bytes that were scanned.
	size int
	// isStarted is set after the status line, isDone after the header of a final answer.
	isStarted, isDone bool

	status    int
	isHTTP10  bool
	isChunked bool
	// length is the stated length of the body if hasLength is set.
	length    int64
	hasLength bool
}

// scan checks the next bytes and returns how many of them belong to the header. The others, which are
// none unless isDone is set, belong to the body. It must not be called again after an error.
func (s *headScanner) scan(b []byte) (n int, err error) {
	for n < len(b) && !s.isDone {
		end := bytes.IndexByte(b[n:], '\n') + 1
		part := b[n : n+end]
		if end == 0 {
			part = b[n:]
		}
		n += len(part)
		if s.size += len(part); s.size > maxHeader {
			return n, errHeaderTooLong
		}
		if end == 0 || len(s.line) > 0 {
			s.line = append(s.line, part...)
			part = s.line
		}
		if end == 0 {
			return n, s.scanPart(part)
		}
		part = bytes.TrimSuffix(part[:len(part)-1], []byte("\r"))
		if err := s.scanLine(part); err != nil {
			return n, err
		}
		s.line = s.line[:0]
	}
	return n, nil
}

// scanLine checks a line without its end.
func (s *headScanner) scanLine(line []byte) error {
	switch {
	case !s.isStarted:
		s.isStarted = true
		return s.scanStatus(line)
	case len(line) == 0:
		return s.endHeader()
	default:
		return s.scanField(line)
	}
}

// protocol is the beginning of each status line.
const protocol = "HTTP/1."

// scanPart checks the beginning of a line whose end may never arrive.
func (s *headScanner) scanPart(line []byte) error {
	if !s.isStarted && string(line[:min(len(line), len(protocol))]) != protocol[:min(len(line), len(protocol))] {
		return malformed("status line", line)
	}
	return nil
}

// scanStatus checks a status line. HTTP/1.0 and the minor versions from 1.1 on have the same syntax.
func (s *headScanner) scanStatus(line []byte) error {
	const version, code = len("HTTP/1.1"), len("HTTP/1.1 200")
	isStatusLine := len(line) >= code && bytes.HasPrefix(line, []byte(protocol)) && isDigit(line[version-1]) && line[version] == ' ' &&
		isDigit(line[version+1]) && isDigit(line[version+2]) && isDigit(line[version+3]) &&
		(len(line) == code || line[code] == ' ') && isText(line[code:])
	if !isStatusLine {
		return malformed("status line", line)
	}
	s.isHTTP10 = line[version-1] == '0'
	s.status = int(line[version+1]-'0')*100 + int(line[version+2]-'0')*10 + int(line[version+3]-'0')
	switch {
	case s.status == http.StatusContinue, s.status == http.StatusProcessing, s.status == http.StatusEarlyHints:
	case s.status < http.StatusOK || s.status > 599: // no request asks for a change of the protocol
		return malformed("status", line)
	}
	return nil
}

// scanField checks a line with a name and a value. A line that continues the one before has no name.
func (s *headScanner) scanField(line []byte) error {
	if !isField(line) {
		return malformed("header line", line)
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(name) == len(contentLength) && bytes.EqualFold(name, []byte(contentLength)):
		return s.scanLength(value)
	case len(name) == len(transferEncoding) && bytes.EqualFold(name, []byte(transferEncoding)):
		if s.isChunked || s.isHTTP10 || !bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked")) {
			return malformed("transfer encoding", line)
		}
		s.isChunked = true
	}
	return nil
}

// Names of the header fields that state the end of a body.
const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// scanLength checks a length. It may be repeated, but not differ.
func (s *headScanner) scanLength(value []byte) error {
	value = bytes.Trim(value, " \t")
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || s.hasLength && int64(length) != s.length {
		return malformed("length", value)
	}
	s.hasLength, s.length = true, int64(length)
	return nil
}

// endHeader checks the header as a whole. Another one follows an interim answer.
func (s *headScanner) endHeader() error {
	isInterim := s.status < http.StatusOK
	if hasNoBody := isInterim || s.status == http.StatusNoContent; hasNoBody && (s.isChunked || s.length > 0) {
		return errors.Errorf("malformed answer: status %d with a body", s.status)
	}
	if s.isChunked && s.hasLength {
		return errors.New("malformed answer: both a length and a transfer encoding")
	}
	if isInterim {
		*s = headScanner{line: s.line, size: s.size}
		return nil
	}
	s.isDone = true
	return nil
}

// malformed returns the error of a line. It quotes the beginning of the line.
func malformed(what string, line []byte) error {
	return errors.Errorf("malformed answer: %s %q", what, line[:min(len(line), maxQuoted)])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether b has no control bytes except tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isField reports whether a line has a name and a value.
func isField(line []byte) bool {
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	return hasValue && isToken(name) && isText(value)
}

// isToken reports whether b is a token as in RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// tokenBytes has the bytes that a token may consist of.
var tokenBytes = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return table
}()
