package platform_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gorseline/core"
	"gorseline/standin/platform"
)

// Guards against bytes of a target in trouble that a caller gets as an answer or as a part of one, that
// are taken for what the target states, or that tell a caller that its request hasn't run.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	faults := []platform.RequestFault{
		platform.BadStatus, platform.BadInterim, platform.BadName, platform.BadLength, platform.BadChunks, platform.FoldedLine,
	}
	tests := []struct {
		path   string
		phases []string
		// target is the index of the only target with the fault; -1 is both plain targets, of which each
		// sends one malformed answer.
		target int
		status int
		runs   int
	}{
		{"/once/x", []string{""}, 0, http.StatusBadGateway, 1},
		{"/once/x", []string{"", ""}, -1, http.StatusBadGateway, 1},
		{"/safe/x", []string{"", ""}, -1, http.StatusBadGateway, 2},
		{"/safe/x", []string{"", ""}, 0, http.StatusOK, 2},
		{"/single/x", []string{"prefill", "decode"}, 1, http.StatusBadGateway, 1},
		{"/resumable/x", []string{"prefill", "decode", "decode"}, 1, http.StatusOK, 2},
		{"/single/x", []string{"prefill", "prefill", "decode"}, 0, http.StatusOK, 1},
	}
	for _, test := range tests {
		for _, fault := range faults {
			t.Run(fmt.Sprint(test.path[1:5], len(test.phases), test.target, fault), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, test.phases...)
				for i, tg := range f.targets {
					if i == test.target || test.target < 0 {
						tg.InjectFaults(fault)
						tg.SetLeaving(true)
						tg.SetLimit(1)
					}
				}
				faulty := f.targets[max(0, test.target)]
				got, runs := response{}, 0
				for range 20 { // either target of a kind may be chosen
					before := len(f.runs("r1"))
					got = f.sendPrompt(t.Context(), test.path)
					runs = len(f.runs("r1")) - before
					if len(faulty.Arrivals()) > 0 || test.target < 0 {
						break
					}
				}
				if len(faulty.Arrivals()) == 0 && test.target >= 0 {
					t.Fatal("the target was never chosen")
				}
				if got.err != nil || got.status != test.status || runs != test.runs {
					t.Errorf("status %d, %v, %d runs", got.status, got.err, runs)
				}
				if strings.Contains(fmt.Sprint(got.header)+got.body, platform.MalformedMark) || got.header.Get("X-Not-Executed") != "" {
					t.Errorf("the caller got %v %q", got.header, got.body)
				}
				if facts := f.limits.Facts(0); len(facts) > 0 {
					t.Errorf("limits %v are known", facts)
				}
				for e := range f.roster.View().All {
					if e.Leaving {
						t.Errorf("%s is taken for leaving", e.ID)
					}
				}
				f.closeServer() // waits for the last log line
				for i, tg := range f.targets {
					if isFaulty := i == test.target || test.target < 0; isFaulty && len(tg.Arrivals()) > 0 && !f.hasLoggedMalformed(tg.ID()) {
						t.Errorf("no log line names the malformed answer of %s", tg.ID())
					}
				}
			})
		}
	}
}

// hasLoggedMalformed reports whether a log line says that a target has sent a malformed answer.
func (f *fixture) hasLoggedMalformed(id string) bool {
	for _, e := range f.logs.Entries {
		text, _ := e.Fields["Error"].(string)
		if e.Message == "AttemptFailed" && e.Fields["Target"] == core.TargetID(id) && strings.Contains(text, "malformed answer: ") {
			return true
		}
	}
	return false
}
