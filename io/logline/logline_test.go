package logline_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"gorseline/io/logline"
)

// logged returns what a writer has written after use.
func logged(o logline.Options, use func(*log.Logger)) string {
	var out bytes.Buffer
	if o.Output == nil {
		o.Output = &out
	}
	w := logline.New(o)
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	use(&log.Logger{Handler: w, Level: log.InfoLevel})
	cancel()
	<-w.Done()
	return out.String()
}

// Guards against lines that programs can't take apart.
func TestLinesAreStructured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := logged(logline.Options{Instance: "n1"}, func(l *log.Logger) {
			l.WithFields(log.Fields{"B": 5, "A": "two words", "C": time.Second, "D": "", "E": true}).WithError(errors.New(`a "b"`)).Warn("Event")
		})
		want := `Time=2000-01-01T00:00:00.000Z Level=warn Instance=n1 Event=Event A="two words" B=5 C=1s D="" E=true error="a \"b\""` + "\n"
		if got != want {
			t.Errorf("got  %swant %s", got, want)
		}
	})
}

// Guards against a flood of lines, and against one that drops the lines of failures.
func TestInfoLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := logged(logline.Options{InfoPerSecond: 10, Capacity: 1000}, func(l *log.Logger) {
			for range 100 {
				l.Info("Fine")
			}
			for range 50 {
				l.Warn("Failed")
			}
		})
		if fine, failed := strings.Count(got, "Event=Fine"), strings.Count(got, "Event=Failed"); fine != 10 || failed != 50 {
			t.Errorf("%d lines without and %d with a failure", fine, failed)
		}
		if !strings.Contains(got, "Event=LinesLeftOut QueueFull=0 OverRate=90") {
			t.Errorf("nothing says what was left out: %s", got[max(0, len(got)-200):])
		}
	})
}

// Guards against a writer that blocks the requests when nobody reads the log.
func TestBlockedOutputDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	w := logline.New(logline.Options{Output: writer, Capacity: 4})
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	l := &log.Logger{Handler: w, Level: log.InfoLevel}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range 10_000 {
			l.Warn("Line")
		}
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks")
	}
	_ = reader.Close()
	cancel()
	<-w.Done()
}
