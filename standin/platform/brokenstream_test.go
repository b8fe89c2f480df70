package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gorseline/standin/platform"
)

// checkPart checks that a caller has got the whole stream, or a part of it that doesn't look whole. It
// returns whether it was the whole one.
func checkPart(t *testing.T, got *rawAnswer) bool {
	t.Helper()
	events := got.body
	if strings.Contains(got.head, "Transfer-Encoding: chunked") {
		events = eventsOfChunks(got.body)
	}
	if !strings.HasPrefix(completeStream(), events) || got.isWhole() && events != completeStream() {
		t.Errorf("whole %v: %+v", got.isWhole(), got)
	}
	return got.isWhole()
}

// eventsOfChunks returns the lines that are no chunk's size or end. Events have no such lines.
func eventsOfChunks(body string) string {
	var b strings.Builder
	for rest := body; ; {
		size, data, ok := strings.Cut(rest, "\r\n")
		var n int
		if _, err := fmt.Sscanf(size, "%x", &n); !ok || err != nil || n == 0 {
			return b.String()
		}
		b.WriteString(data[:min(n, len(data))])
		rest = strings.TrimPrefix(data[min(n, len(data)):], "\r\n")
	}
}

// Guards against events that come twice or whose numbers go back, at the first engine or at one that goes
// on with a stream without regard to the last event.
func TestEventsThatGoBackAreNotRelayed(t *testing.T) {
	tests := []struct {
		path    string
		faults  []platform.RequestFault
		isWhole bool
	}{
		{"/single/x", []platform.RequestFault{platform.StepBack}, false},
		{"/resumable/x", []platform.RequestFault{platform.StepBack, ""}, true},
		{"/resumable/x", []platform.RequestFault{platform.CutStream, platform.Rerun}, false},
		{"/resumable/x", []platform.RequestFault{platform.UnframedReset, platform.Rerun}, false},
		{"/resumable/x", []platform.RequestFault{platform.Stall, platform.Rerun}, false},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.path[1:7], test.faults), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode", "decode")
			for i, fault := range test.faults {
				f.targets[1+i].InjectFaults(fault)
			}
			if isWhole := checkPart(t, f.exchangeRaw(test.path)); isWhole != test.isWhole {
				t.Errorf("whole %v, want %v", isWhole, test.isWhole)
			}
		})
	}
}

// Guards against a stream that a caller continues and that begins anew, and against one that has begun at
// event 0 and is taken for a wrong one.
func TestCallerIsNotGivenEventsTwice(t *testing.T) {
	f := newFixture(t, "prefill", "decode")
	if got := f.sendPrompt(t.Context(), "/resumable/x"); got.body != completeStream() {
		t.Fatalf("%+v", got)
	}
	f.targets[1].InjectFaults(platform.Rerun)
	got := f.sendAttempt("r2", "Last-Event-Id", "1", "Resumes", "r1")
	if got.status == http.StatusOK || strings.Contains(got.body, "piece") {
		t.Errorf("an engine that begins anew: %+v", got)
	}
	got = f.sendAttempt("r3", "Last-Event-Id", "1", "Resumes", "r1")
	if got.status != http.StatusOK || got.err != nil || !strings.HasPrefix(got.body, "id: 2\n") {
		t.Errorf("an engine that goes on: %+v", got)
	}
}

// Guards against a whole stream that is cut because its engine failed after the last event: the engine that
// is asked to go on states the end of an empty stream.
func TestStatedEndAfterLastEventCompletesStream(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	f.targets[1].InjectFaults(platform.CutEnd)
	if !checkPart(t, f.exchangeRaw("/resumable/x")) {
		t.Error("the stream was cut")
	}
	if !f.hasLogged("ContinuationEmpty") {
		t.Error("no log line names the empty continuation")
	}
}

// Guards against a stream that ends as complete because the connection of its continuation ended before
// an event.
func TestUnstatedEndBeforeEventIsNoContinuation(t *testing.T) {
	f := newFixture(t, "prefill", "decode", "decode")
	f.targets[1].InjectFaults(platform.CutStream)
	f.targets[2].InjectFaults(platform.UnframedEmpty)
	if checkPart(t, f.exchangeRaw("/resumable/x")) {
		t.Error("the stream looks whole")
	}
}

// Guards against a stream in chunks that goes on without them and ends as complete although the second
// engine has been killed.
func TestKilledContinuationIsNoEndOfStream(t *testing.T) {
	for fault, isWhole := range map[platform.RequestFault]bool{platform.Unframed: true, platform.UnframedKill: false} {
		f := newFixture(t, "prefill", "decode", "decode")
		f.targets[1].SetEvents(4, 0)
		f.targets[1].InjectFaults(platform.CutEarly)
		f.targets[2].SetDownTime(routeTimeout)
		f.targets[2].InjectFaults(fault)
		got := f.exchangeRaw("/resumable/x")
		if checkPart(t, got) != isWhole || !strings.Contains(got.head, "chunked") {
			t.Errorf("%s: %+v", fault, got)
		}
	}
}

// Guards against the text or the head of an error in the middle of a stream, and against a stream that
// ends as complete with it, when the engine that should go on answers with something else.
func TestErrorIsNoContinuation(t *testing.T) {
	for _, first := range []platform.RequestFault{platform.CutStream, platform.UnframedReset, platform.Stall} {
		for _, next := range []platform.RequestFault{
			platform.Fail, platform.NotFound, platform.OtherType, platform.CutHead, platform.Shed, platform.Reset,
			platform.EndlessHead, platform.EndlessInterim, platform.EndlessBody, platform.EndlessRefusal,
		} {
			t.Run(string(first)+"-"+string(next), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, "prefill", "decode", "decode")
				f.targets[1].InjectFaults(first)
				f.targets[2].SetLastingFault(next, 1)
				if checkPart(t, f.exchangeRaw("/resumable/x")) {
					t.Error("the stream looks whole")
				}
			})
		}
	}
}

// Guards against the same for a stream that its caller continues: an error is an answer of its own.
func TestErrorOfResumedRequestIsItsAnswer(t *testing.T) {
	for _, fault := range []platform.RequestFault{
		platform.Fail, platform.NotFound, platform.OtherType, platform.CutHead, platform.Shed, platform.EmptyStream,
	} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "prefill", "decode")
			f.sendPrompt(t.Context(), "/resumable/x")
			f.targets[1].SetLastingFault(fault, 1)
			got := f.sendAttempt("r2", "Last-Event-Id", "1", "Resumes", "r1")
			isStream := strings.HasPrefix(got.header.Get("Content-Type"), "text/event-stream")
			if got.err != nil || isStream && got.body != "" {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against a stream over another instance that looks whole, or has an error in it, because that
// instance or its engine fails after the first events or instead of them.
func TestBrokenStreamOfOtherInstance(t *testing.T) {
	const events = "id: 0\ndata: piece 0 of r1\n\n"
	const head = "HTTP/1.1 200 OK\r\nGorseline-Detour: other\r\nContent-Type: text/event-stream\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
	refusal := "HTTP/1.1 503 Service Unavailable\r\nGorseline-Detour: other\r\nContent-Type: text/event-stream\r\nContent-Length: 5\r\n"
	for name, answer := range map[string]string{
		"breaks after events":     head + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
		"error instead of chunk":  head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "HTTP/1.1 500 Internal Server Error\r\n\r\nerror",
		"breaks after its header": head + "Transfer-Encoding: chunked\r\n\r\n",
		"ends after its header":   head + "Connection: close\r\n\r\n",
		"failed":                  refusal + "Gorseline-Failed: AnswerBroken\r\n\r\nerror",
		"not run":                 refusal + "Gorseline-Not-Run: NoSlot\r\nGorseline-Arrivals: 1\r\n\r\nerror",
		"server error":            strings.Replace(head, "200 OK", "500 Internal Server Error", 1) + "Content-Length: 5\r\n\r\nerror",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			other := newFixture(t, "decode")
			other.detours.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, buffer, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = buffer.WriteString(answer)
				_ = buffer.Flush()
				_ = conn.(*net.TCPConn).Close()
			})
			got := newCutFixture(t, other).exchangeRaw("/resumable/x")
			if got.isWhole() || strings.HasPrefix(got.head, "HTTP/1.1 200") && strings.Contains(got.body, "error") {
				t.Errorf("%+v", got)
			}
		})
	}
}

// hasLogged reports whether a log line with this event was written. It waits for the requests.
func (f *fixture) hasLogged(event string) bool {
	f.closeServer()
	for _, e := range f.logs.Entries {
		if e.Message == event {
			return true
		}
	}
	return false
}
