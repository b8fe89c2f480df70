// Package logline writes structured log lines without blocking the caller, and parses them.
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
	// Instance is the value of the field Instance of each line.
	Instance string
	// Capacity is the length of the queue in lines; 0 uses 2048.
	Capacity int
	// InfoPerSecond limits the lines per second below the level Warn; 0 uses 400. It counts
	// single lines, so it can drop some lines of a request and keep others.
	InfoPerSecond int
}

// Writer is a handler of apex/log that writes lines in the form
// "Time=... Level=... Instance=... Event=... Key=value". It drops and counts lines while the
// queue is full.
type Writer struct {
	opts  Options
	lines chan []byte
	// queueFull and overRate count the lines that were dropped since the last report.
	queueFull atomic.Uint64
	overRate  atomic.Uint64
	// window is the Unix time in seconds in which windowCount lines below Warn were logged.
	window      atomic.Int64
	windowCount atomic.Int64
	done        chan struct{}
}

var _ log.Handler = (*Writer)(nil)

// New returns a writer. Call Run to start it.
func New(o Options) *Writer {
	if o.Capacity == 0 {
		o.Capacity = 2048
	}
	if o.InfoPerSecond == 0 {
		o.InfoPerSecond = 400
	}
	return &Writer{opts: o, lines: make(chan []byte, o.Capacity), done: make(chan struct{})}
}

// HandleLog queues a line, or drops it if it exceeds the rate limit or the queue is full. It
// never blocks.
func (w *Writer) HandleLog(e *log.Entry) error {
	if e.Level < log.WarnLevel && !w.admit(e) {
		w.overRate.Add(1)
		return nil
	}
	select {
	case w.lines <- w.format(e):
	default:
		w.queueFull.Add(1)
	}
	return nil
}

// admit reports whether a line below the level Warn is within the rate limit.
func (w *Writer) admit(e *log.Entry) bool {
	second := e.Timestamp.Unix()
	if old := w.window.Load(); old != second && w.window.CompareAndSwap(old, second) {
		w.windowCount.Store(0)
	}
	return w.windowCount.Add(1) <= int64(w.opts.InfoPerSecond)
}

// timeLayout is the format of times, which are in UTC.
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

// appendText appends a text, quoted if it is empty or contains special characters.
func appendText(b []byte, s string) []byte {
	if s == "" || strings.ContainsFunc(s, needsQuotes) {
		return strconv.AppendQuote(b, s)
	}
	return append(b, s...)
}

func needsQuotes(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > '~' }

// atomicWriteSize is the size in bytes up to which writes to a pipe are atomic (pipe(7)).
const atomicWriteSize = 4 << 10

// reportInterval is the time between two reports of dropped lines.
const reportInterval = time.Second

// Run writes queued lines until ctx is done and the queue is empty.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	out := bufio.NewWriterSize(w.opts.Output, atomicWriteSize)
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

// write writes a line and all queued lines, and flushes the output.
func (w *Writer) write(out *bufio.Writer, line []byte) {
	put(out, line)
	w.drain(out)
}

// put buffers a line. It flushes the buffer first if the line does not fit, so that a line is
// not split over two writes. It ignores errors because there is no other log to report them to.
func put(out *bufio.Writer, line []byte) {
	if out.Available() < len(line) {
		_ = out.Flush()
	}
	_, _ = out.Write(line)
}

// drain writes all queued lines and flushes the output.
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

// report writes the number of lines that were dropped since the last report.
func (w *Writer) report(out *bufio.Writer) {
	queueFull, overRate := w.queueFull.Swap(0), w.overRate.Swap(0)
	if queueFull+overRate == 0 {
		return
	}
	var line bytes.Buffer
	fmt.Fprintf(&line, "Time=%s Level=warn Instance=%s Event=LinesLeftOut QueueFull=%d OverRate=%d\n",
		time.Now().UTC().Format(timeLayout), appendText(nil, w.opts.Instance), queueFull, overRate)
	_, _ = out.Write(line.Bytes())
	_ = out.Flush()
}

// Done returns a channel that is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.done }
