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

// logged returns the output of a writer to which use has logged.
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

// Guards against lines that programs cannot parse.
func TestLineFormat(t *testing.T) {
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

// Guards against an unlimited rate of lines below the level Warn, and against a limit that
// drops warnings.
func TestInfoLinesAreRateLimited(t *testing.T) {
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
			t.Errorf("%d info lines and %d warnings, want 10 and 50", fine, failed)
		}
		if !strings.Contains(got, "Event=LinesLeftOut QueueFull=0 OverRate=90") {
			t.Errorf("no report of the dropped lines: %s", got[max(0, len(got)-200):])
		}
	})
}

// Guards against a writer that blocks requests while nothing reads its output.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	reader, writer := io.Pipe()
	w := logline.New(logline.Options{Output: writer, Capacity: 4})
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	l := &log.Logger{Handler: w, Level: log.InfoLevel}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		for range 10_000 {
			l.Warn("Line")
		}
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks")
	}
	_ = reader.Close()
	cancel()
	<-w.Done()
}

// BenchmarkRequest measures the two lines of a successful request, from the creation of their
// fields to the queue of the writer.
func BenchmarkRequest(b *testing.B) {
	w := logline.New(logline.Options{Output: io.Discard, Instance: "front-a-1", InfoPerSecond: 1 << 30})
	ctx, cancel := context.WithCancel(context.Background())
	go w.Run(ctx)
	l := &log.Logger{Handler: w, Level: log.InfoLevel}
	b.ReportAllocs()
	for b.Loop() {
		l.WithFields(log.Fields{
			"Request": "aca62f8b82c2f6fc", "Route": "r-bjqxxr4", "Service": "noye19a", "Reason": "LeastDelay", "Tokens": 16969,
			"Held": 2601, "ComputeMs": 56, "BacklogMs": 0, "ExpectedMs": 66, "LimitMs": 126, "Candidates": 14, "Returned": false,
			"Roster": 40, "LeftMs": 1978, "Kind": "Prefill", "Target": "i-22396de42b",
		}).Info("RequestAssigned")
		l.WithFields(log.Fields{
			"Request": "aca62f8b82c2f6fc", "Route": "r-bjqxxr4", "Service": "noye19a", "Reason": "Answered", "Outcome": "Done",
			"Configuration": 4, "Status": 200, "Runs": 1, "Sends": 2, "FirstMs": 70, "TookMs": 72, "PrefillMs": 60, "ImportMs": 6,
			"Events": 2, "LastEventMs": 71, "Returned": false, "Target": "i-a2274dc6f4",
		}).Info("RequestEnded")
	}
	cancel()
	<-w.Done()
}
