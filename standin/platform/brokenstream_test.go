package platform_test

import (
	"fmt"
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
