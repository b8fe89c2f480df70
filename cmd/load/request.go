package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/io/caller"
	"gorseline/io/sse"
	"gorseline/standin/engine"
)

const (
	// maxTries bounds the tries for one request.
	maxTries = 8
	// retryPause follows a failed connection.
	retryPause = 100 * time.Millisecond
	// silenceLimit is three heartbeats of an instance.
	silenceLimit = 3 * time.Second
	// maxEvent and maxAnswer bound what is read, in bytes.
	maxEvent  = 64 << 10
	maxAnswer = 1 << 20
)

// end is how a request ended.
type end int

const (
	endComplete end = iota
	endNotRun
	endCut
	endUnknown
	endWrong
)

// state is what a caller has of one answer.
type state struct {
	run     *run
	request workload.Request
	due     time.Time
	text    strings.Builder
	token   string
	last    time.Time // of the last text
	tokens  int
	sent    bool // a try may have reached the service
}

// serve sends one request until its end is known.
func (r *run) serve(ctx context.Context, n int, due time.Time, request workload.Request) {
	s := &state{run: r, request: request, due: due}
	key := fmt.Sprintf("%s-%d", r.prefix, n)
	ended := endNotRun
	for try := range maxTries {
		var after time.Duration
		ended, after = s.try(ctx, r.Targets[(n+try)%len(r.Targets)], key)
		if after == 0 || !pause.For(ctx, after) {
			break
		}
	}
	if ended == endComplete && request.Model != "" && !s.correct() {
		ended = endWrong
	}
	r.report.update(func(report *Report) {
		report.Sent++
		report.Tokens += s.tokens
		for _, counter := range []struct {
			end   end
			count *int
		}{
			{endComplete, &report.Complete},
			{endNotRun, &report.NotRun},
			{endCut, &report.Cut},
			{endUnknown, &report.Unknown},
			{endWrong, &report.Wrong},
		} {
			if counter.end == ended {
				*counter.count++
			}
		}
	})
}

// correct compares the text with what a stand-in engine generates.
func (s *state) correct() bool {
	want, _ := engine.Answer(s.request.Model, s.request.Prompt, s.tokens)
	return s.text.String() == want
}

// try sends the request once. A time asks for another try after it.
func (s *state) try(ctx context.Context, target, key string) (ended end, after time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceLimit, cancel)
	defer watchdog.Stop()
	req, err := s.request.Build(ctx, target, key)
	if err != nil {
		return endNotRun, 0
	}
	if s.run.Deadline > 0 {
		req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(s.run.Deadline.Milliseconds(), 10))
	}
	if s.token != "" {
		req.Header.Set(caller.HeaderLastEventID, s.token)
		s.run.report.update(func(r *Report) { r.Resumed++ })
	}
	if s.request.Model == "" {
		watchdog.Stop() // calls have no heartbeats; the instance answers by the deadline
	}
	resp, err := s.run.http.Do(req)
	if err != nil {
		// The operation key makes a repeat of a call safe.
		return s.broken(), retryPause
	}
	defer resp.Body.Close()
	switch {
	case resp.Header.Get("Content-Type") == "text/event-stream":
		return s.read(resp.Body, watchdog)
	case s.request.Model == "" && resp.StatusCode < http.StatusMultipleChoices:
		return s.answered(resp.Body)
	default:
		return s.refused(resp.Body)
	}
}

// broken is the end after a connection that failed.
func (s *state) broken() end {
	s.sent = true
	if s.request.Model != "" {
		return endCut
	}
	return endUnknown
}

func (s *state) refused(body io.Reader) (ended end, after time.Duration) {
	var refusal core.Refusal
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&refusal); err != nil {
		return s.broken(), 0
	}
	after = time.Duration(refusal.RetryAfterMs) * time.Millisecond
	if refusal.NotRun && !s.sent {
		return endNotRun, after
	}
	return s.broken(), after
}

// answered reads the answer of a plain service and looks at its effects.
func (s *state) answered(body io.Reader) (ended end, after time.Duration) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return s.broken(), retryPause
	}
	var answer struct {
		Effect *int `json:"effect"`
	}
	// A service that reports no effects is not checked for them.
	_ = json.Unmarshal(data, &answer)
	took := time.Since(s.due)
	s.run.report.update(func(r *Report) {
		note(r.call, took)
		if answer.Effect == nil || s.request.Method == http.MethodGet {
			return
		}
		r.Doubled += max(0, *answer.Effect-1)
		if *answer.Effect == 0 {
			r.Lost++
		}
	})
	return endComplete, 0
}

// read reads a stream to its end.
func (s *state) read(body io.Reader, watchdog *time.Timer) (ended end, after time.Duration) {
	s.sent = true
	events := sse.NewDecoder(body, maxEvent)
	var event sse.Event
	for {
		if events.Next(&event) != nil {
			return endCut, retryPause
		}
		watchdog.Reset(silenceLimit)
		if event.Comment {
			continue
		}
		if len(event.ID) > 0 {
			s.token = string(event.ID)
		}
		chunk, err := sse.ParseChunk(&event)
		switch {
		case err != nil:
			return endCut, 0
		case chunk.Refusal != nil:
			if chunk.Refusal.NotRun {
				return endNotRun, time.Duration(chunk.Refusal.RetryAfterMs) * time.Millisecond
			}
			return endCut, time.Duration(chunk.Refusal.RetryAfterMs) * time.Millisecond
		case chunk.Done:
			return endComplete, 0
		case chunk.Finished:
			s.tokens = chunk.Tokens
		}
		if chunk.Text != "" {
			s.arrived(chunk.Text)
		}
	}
}

// arrived notes the latency of a piece of text. Tokens that came in one event
// share the time since the event before.
func (s *state) arrived(text string) {
	now := time.Now()
	tokens := max(1, core.CountTokens(text))
	s.run.report.update(func(r *Report) {
		if s.last.IsZero() {
			note(r.firstToken, now.Sub(s.due))
			tokens--
		}
		for range tokens {
			gap := time.Duration(0)
			if !s.last.IsZero() {
				gap = now.Sub(s.last) / time.Duration(tokens)
			}
			note(r.betweenTokens, gap)
		}
	})
	s.last = now
	s.text.WriteString(text)
}

var errFailed = errors.New("something was cut, doubled, lost or wrong")

// Err returns an error if the run did not pass.
func (r *Report) Err() error {
	if r.Passed() {
		return nil
	}
	return errFailed
}
