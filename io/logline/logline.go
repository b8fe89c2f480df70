// Package logline writes structured log lines without blocking the caller.
package logline

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Options configure a Writer.
type Options struct {
	Output io.Writer
	// Instance is written in each line.
	Instance string
	// Capacity is the number of lines that wait to be written; 0 takes 2048.
	Capacity int
	// InfoPerSecond bounds the lines below the level Warn; 0 takes 400. Lines of one
	// request share their fate, so that a request is logged whole or not at all.
	InfoPerSecond int
}

// Writer is a handler of apex/log that writes "Time=... Level=... Event=... Key=value"
// lines. When lines come faster than they are written, it drops and counts them.
type Writer struct {
	opts    Options
	lines   chan []byte
	dropped atomic.Uint64
	sampled atomic.Uint64
	window  atomic.Int64
	count   atomic.Int64
	done    chan struct{}
}

var _ log.Handler = (*Writer)(nil)

// New returns a writer that starts with Run.
func New(o Options) *Writer {
	if o.Capacity == 0 {
		o.Capacity = 2048
	}
	if o.InfoPerSecond == 0 {
		o.InfoPerSecond = 400
	}
	return &Writer{opts: o, lines: make(chan []byte, o.Capacity), done: make(chan struct{})}
}

// HandleLog queues a line. It never blocks.
func (w *Writer) HandleLog(e *log.Entry) error {
	if e.Level < log.WarnLevel && !w.admit(e) {
		w.sampled.Add(1)
		return nil
	}
	select {
	case w.lines <- w.format(e):
	default:
		w.dropped.Add(1)
	}
	return nil
}

// admit bounds the rate of lines without a fault.
func (w *Writer) admit(e *log.Entry) bool {
	second := e.Timestamp.Unix()
	if old := w.window.Load(); old != second && w.window.CompareAndSwap(old, second) {
		w.count.Store(0)
	}
	return w.count.Add(1) <= int64(w.opts.InfoPerSecond)
}

// timeLayout is the layout of times, which are in UTC.
const timeLayout = "2006-01-02T15:04:05.000Z"

func (w *Writer) format(e *log.Entry) []byte {
	b := make([]byte, 0, 320)
	b = append(b, "Time="...)
	b = e.Timestamp.UTC().AppendFormat(b, timeLayout)
	b = append(b, " Level="...)
	b = append(b, e.Level.String()...)
	b = append(b, " Instance="...)
	b = appendText(b, w.opts.Instance)
	b = append(b, " Event="...)
	b = appendText(b, e.Message)
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		b = append(b, ' ')
		b = append(b, name...)
		b = append(b, '=')
		b = appendValue(b, e.Fields[name])
	}
	return append(b, '\n')
}

func appendValue(b []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case bool:
		return strconv.AppendBool(b, v)
	case fmt.Stringer:
		return appendText(b, v.String())
	}
	return appendText(b, fmt.Sprint(value))
}

// appendText quotes a text that isn't a plain word.
func appendText(b []byte, s string) []byte {
	if s == "" || strings.ContainsFunc(s, needsQuotes) {
		return strconv.AppendQuote(b, s)
	}
	return append(b, s...)
}

func needsQuotes(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > '~' }

// atomicWrite is the size up to which a write to a pipe is not mixed with others
// (pipe(7)).
const atomicWrite = 4 << 10

// reportInterval is the time between two lines about dropped lines.
const reportInterval = time.Second

// Run writes the queued lines until ctx ends and the queue is empty.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	out := bufio.NewWriterSize(w.opts.Output, atomicWrite)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(out, line)
		case <-ticker.C:
			w.report(out)
		case <-ctx.Done():
			w.drain(out)
			w.report(out)
			return
		}
	}
}

// write writes a line and those that wait behind it, and flushes when none is left.
func (w *Writer) write(out *bufio.Writer, line []byte) {
	put(out, line)
	w.drain(out)
}

// put buffers a line and keeps lines whole within a write. A log that can't be written has
// nowhere to be reported.
func put(out *bufio.Writer, line []byte) {
	if out.Available() < len(line) {
		_ = out.Flush()
	}
	_, _ = out.Write(line)
}

func (w *Writer) drain(out *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			put(out, line)
		default:
			_ = out.Flush()
			return
		}
	}
}

// report says how many lines were left out since the last report.
func (w *Writer) report(out *bufio.Writer) {
	dropped, sampled := w.dropped.Swap(0), w.sampled.Swap(0)
	if dropped+sampled == 0 {
		return
	}
	var line bytes.Buffer
	fmt.Fprintf(&line, "Time=%s Level=warn Instance=%s Event=LinesLeftOut QueueFull=%d OverRate=%d\n",
		time.Now().UTC().Format(timeLayout), appendText(nil, w.opts.Instance), dropped, sampled)
	_, _ = out.Write(line.Bytes())
	_ = out.Flush()
}

// Done is closed when Run has ended.
func (w *Writer) Done() <-chan struct{} { return w.done }
