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

	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/io/caller"
	"gorseline/io/sse"
	"gorseline/standin/engine"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 8
	// retryDelay is the time until the next attempt after a failed connection.
	retryDelay = 100 * time.Millisecond
	// idleTimeout is three heartbeats of an instance.
	idleTimeout = 3 * time.Second
	// maxEventBytes bounds an event of a stream, maxAnswerBytes the answer of a service.
	maxEventBytes  = 64 << 10
	maxAnswerBytes = 1 << 20
)

// outcome is how a request ended.
type outcome int

const (
	outcomeComplete outcome = iota
	outcomeNotRun
	outcomeCut
	outcomeUnknown
	outcomeWrong
)

// exchange is one request and the answer received so far, over all attempts.
type exchange struct {
	run        *run
	request    workload.Request
	due        time.Time
	text       strings.Builder
	eventID    string    // of the last event; resumes the stream
	lastText   time.Time // when the last text arrived
	tokens     int       // as counted by the engine
	mayHaveRun bool      // an attempt may have reached the target
}

// send sends one request, with retries, and counts its outcome.
func (r *run) send(ctx context.Context, n int, due time.Time, request workload.Request) {
	x := &exchange{run: r, request: request, due: due}
	key := fmt.Sprintf("%s-%d", r.prefix, n)
	result := outcomeNotRun
	for attempt := range maxAttempts {
		var retryAfter time.Duration
		result, retryAfter = x.try(ctx, r.Targets[(n+attempt)%len(r.Targets)], key)
		if retryAfter == 0 || !pause.For(ctx, retryAfter) {
			break
		}
	}
	if result == outcomeComplete && request.Model != "" && !x.isCorrect() {
		result = outcomeWrong
	}
	r.report.update(func(report *Report) {
		report.Sent++
		report.Tokens += x.tokens
		for _, counter := range []struct {
			outcome outcome
			count   *int
		}{
			{outcomeComplete, &report.Complete},
			{outcomeNotRun, &report.NotRun},
			{outcomeCut, &report.Cut},
			{outcomeUnknown, &report.Unknown},
			{outcomeWrong, &report.Wrong},
		} {
			if counter.outcome == result {
				*counter.count++
			}
		}
	})
}

// isCorrect reports whether the text is the one that a stand-in engine generates.
func (x *exchange) isCorrect() bool {
	want, _ := engine.Answer(x.request.Model, x.request.Prompt, x.tokens)
	return x.text.String() == want
}

// try sends the request once. A retryAfter above 0 asks for another attempt after it.
func (x *exchange) try(ctx context.Context, target, key string) (result outcome, retryAfter time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(idleTimeout, cancel)
	defer watchdog.Stop()
	req, err := x.request.Build(ctx, target, key)
	if err != nil {
		return outcomeNotRun, 0
	}
	if x.run.Deadline > 0 {
		req.Header.Set(caller.HeaderDeadline, strconv.FormatInt(x.run.Deadline.Milliseconds(), 10))
	}
	if x.eventID != "" {
		req.Header.Set(caller.HeaderLastEventID, x.eventID)
		x.run.report.update(func(r *Report) { r.Resumed++ })
	}
	if x.request.Model == "" {
		watchdog.Stop() // a service call has no heartbeats; the instance answers by its deadline
	}
	resp, err := x.run.http.Do(req)
	if err != nil {
		// The operation key makes it safe to retry a call.
		return x.failed(), retryDelay
	}
	defer resp.Body.Close()
	switch {
	case resp.Header.Get("Content-Type") == "text/event-stream":
		return x.readStream(resp.Body, watchdog)
	case x.request.Model == "" && resp.StatusCode < http.StatusMultipleChoices:
		return x.readAnswer(resp.Body)
	default:
		return x.readRefusal(resp.Body)
	}
}

// failed returns the outcome after a failed connection: the request may have run.
func (x *exchange) failed() outcome {
	x.mayHaveRun = true
	if x.request.Model != "" {
		return outcomeCut
	}
	return outcomeUnknown
}

// readRefusal reads the refusal of a request.
func (x *exchange) readRefusal(body io.Reader) (result outcome, retryAfter time.Duration) {
	var refusal core.Refusal
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&refusal); err != nil {
		return x.failed(), 0
	}
	retryAfter = time.Duration(refusal.RetryAfterMs) * time.Millisecond
	if refusal.NotRun && !x.mayHaveRun {
		return outcomeNotRun, retryAfter
	}
	return x.failed(), retryAfter
}

// readAnswer reads the answer of a plain service and checks the number of its effects.
func (x *exchange) readAnswer(body io.Reader) (result outcome, retryAfter time.Duration) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return x.failed(), retryDelay
	}
	var answer struct {
		Effect *int `json:"effect"`
	}
	// An answer without a number of effects is not checked.
	_ = json.Unmarshal(data, &answer)
	latency := time.Since(x.due)
	x.run.report.update(func(r *Report) {
		record(r.service, latency)
		if answer.Effect == nil || x.request.Method == http.MethodGet {
			return
		}
		r.Doubled += max(0, *answer.Effect-1)
		if *answer.Effect == 0 {
			r.Lost++
		}
	})
	return outcomeComplete, 0
}

// readStream reads a stream to its end.
func (x *exchange) readStream(body io.Reader, watchdog *time.Timer) (result outcome, retryAfter time.Duration) {
	x.mayHaveRun = true
	events := sse.NewDecoder(body, maxEventBytes)
	var event sse.Event
	for {
		if events.Next(&event) != nil {
			return outcomeCut, retryDelay
		}
		watchdog.Reset(idleTimeout)
		if event.Comment {
			continue
		}
		if len(event.ID) > 0 {
			x.eventID = string(event.ID)
		}
		chunk, err := sse.ParseChunk(&event)
		switch {
		case err != nil:
			return outcomeCut, 0
		case chunk.Refusal != nil:
			if chunk.Refusal.NotRun {
				return outcomeNotRun, time.Duration(chunk.Refusal.RetryAfterMs) * time.Millisecond
			}
			return outcomeCut, time.Duration(chunk.Refusal.RetryAfterMs) * time.Millisecond
		case chunk.Done:
			return outcomeComplete, 0
		case chunk.Finished:
			x.tokens = chunk.Tokens
		}
		if chunk.Text != "" {
			x.addText(chunk.Text)
		}
	}
}

// addText appends text that arrived in one event and records its latency. The tokens of an
// event share the time since the previous event equally.
func (x *exchange) addText(text string) {
	now := time.Now()
	tokens := max(1, core.CountTokens(text))
	x.run.report.update(func(r *Report) {
		if x.lastText.IsZero() {
			record(r.firstToken, now.Sub(x.due))
			tokens--
		}
		for range tokens {
			gap := time.Duration(0)
			if !x.lastText.IsZero() {
				gap = now.Sub(x.lastText) / time.Duration(tokens)
			}
			record(r.betweenTokens, gap)
		}
	})
	x.lastText = now
	x.text.WriteString(text)
}
