package lib

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Client stands for a client with one connection that it keeps.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	front  string
	// Used counts the requests that were sent on the present connection before.
	Used int
}

// Request is one client attempt.
type Request struct {
	ID, Method, Path, Host string
	// Lines are further header lines, each with its end.
	Lines    string
	Body     []byte
	Deadline time.Duration
}

// Send sends a request to the address of an instance and returns the answer when its head is there.
func (c *Client) Send(front string, q *Request) (*http.Response, error) {
	if c.conn == nil || c.front != front {
		c.Close()
		conn, err := net.DialTimeout("tcp4", front, time.Second)
		if err != nil {
			return nil, fmt.Errorf("connect: %w", err)
		}
		c.conn, c.reader, c.front, c.Used = conn, bufio.NewReader(conn), front, 0
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.Deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		q.Method, q.Path, q.Host, q.ID, q.Deadline.Milliseconds(), q.Lines, len(q.Body))
	buffers := net.Buffers{[]byte(head), q.Body}
	if _, err := buffers.WriteTo(c.conn); err != nil {
		c.Close()
		return nil, fmt.Errorf("write: %w", err)
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("read: %w", err)
	}
	c.Used++
	return resp, nil
}

// Do sends a request and reads the whole answer.
func (c *Client) Do(front string, q *Request) (status int, header http.Header, body []byte, err error) {
	resp, err := c.Send(front, q)
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.Close()
	}
	return resp.StatusCode, resp.Header, body, err
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Event is an event of a stream.
type Event struct{ ID, Data string }

// ReadEvent reads the next event of a stream. io.EOF means that the stream is complete.
func ReadEvent(r *bufio.Reader) (Event, error) {
	var e Event
	isStarted := false
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			if err == io.EOF && (isStarted || len(line) > 0) {
				return e, io.ErrUnexpectedEOF
			}
			return e, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		isStarted = true
		name, value, _ := strings.Cut(string(line), ":")
		switch name {
		case "id":
			e.ID = strings.TrimSpace(value)
		case "data":
			e.Data = strings.TrimSpace(value)
		}
	}
}
