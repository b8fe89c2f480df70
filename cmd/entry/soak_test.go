package main_test

import (
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"

	"gorseline/cmd/entry/node"
	"gorseline/standin/platform/soak"
)

// TestMain runs an instance instead of the tests in the child processes that a soak run
// starts from this binary.
func TestMain(m *testing.M) {
	if !soak.IsChild() {
		os.Exit(m.Run())
	}
	var options node.Options
	if _, err := flags.ParseArgs(&options, os.Args[1:]); err != nil {
		os.Exit(2)
	}
	if err := node.Run(options, os.Stdout); err != nil {
		os.Exit(1)
	}
}

// regressions maps seeds that once found a fault to its cause.
var regressions = map[uint64]string{
	1021: "SIGHUP ended an instance that had not yet installed its signal handler",
}

// Guards against violated guarantees under random faults of processes, connections, the
// store and targets. Seed 1 is the short run of CI; the others have found faults before.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	seeds := map[uint64]string{1: "the short run"}
	for seed, cause := range regressions {
		seeds[seed] = cause
	}
	for seed, cause := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{
				Command: []string{os.Args[0]}, Seed: seed, FaultDuration: 5 * time.Second, Instances: 3, Callers: 6,
				Retries: soak.RandomRetryLimit(seed), Dir: filepath.Join(t.TempDir(), "soak"),
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range report.Violations {
				t.Errorf("%s (seed %d: %s; faults %v)", v, seed, cause, report.Faults)
			}
			if report.Answered < 50 {
				t.Errorf("only %d of %d requests answered", report.Answered, report.Requests)
			}
		})
	}
}

// runSoak runs four instances with the options, and reports what is violated.
func runSoak(t *testing.T, o soak.Options) soak.Report {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	o.Command, o.Instances, o.Callers = []string{os.Args[0]}, 4, 8
	o.Retries, o.Dir = soak.RandomRetryLimit(o.Seed), filepath.Join(t.TempDir(), "soak")
	report, err := soak.Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("%s (%s; faults %v)", v, report.Crashes, report.Faults)
	}
	return report
}

// Guards against a part of prompts that crashes engine after engine beside killed, frozen and leaving
// instances, crashes for other reasons and a store that is away or comes back from a copy.
func TestSoakWithCrashingParts(t *testing.T) {
	report := runSoak(t, soak.Options{Seed: 1, FaultDuration: 10 * time.Second, CrashingParts: 1})
	if report.Crashes == "" {
		t.Error("no engine crashed under the part")
	}
}

// Guards against requests that crash target after target beside the same faults.
func TestSoakWithCrashingRequests(t *testing.T) {
	report := runSoak(t, soak.Options{Seed: 1, FaultDuration: 10 * time.Second, CrashingRequests: 4})
	if report.Crashes == "" {
		t.Error("no target crashed under a request")
	}
}

// Guards against callers who are served worse at instances that are cut off from all targets, beside
// killed, frozen and leaving instances.
func TestSoakWithCuts(t *testing.T) {
	report := runSoak(t, soak.Options{Seed: 2, FaultDuration: 16 * time.Second, Cuts: true})
	if len(report.Cuts) == 0 {
		t.Error("no instance was cut off")
	}
}

// Guards against targets that get requests after they have stated that they leave, or while they ask for
// a pause, beside killed, frozen and leaving instances.
func TestSoakWithAnnouncements(t *testing.T) {
	// Seed 15 once counted calls without an ID as repeats of one request.
	runSoak(t, soak.Options{Seed: 15, FaultDuration: 14 * time.Second, Announcements: true})
}

// Guards against targets that get more requests than they state beside killed, frozen and leaving
// instances.
func TestSoakWithStatedLimits(t *testing.T) {
	report := runSoak(t, soak.Options{Seed: 1, FaultDuration: 12 * time.Second, StatedLimits: true})
	if report.LimitPeak == "" {
		t.Error("no target stated a limit for long enough")
	}
}

// Guards against answers that look complete though their target broke them off, and heads that are no answers
// but are passed on, beside killed and leaving instances and changes of the configuration.
func TestSoakWithEndings(t *testing.T) {
	report := runSoak(t, soak.Options{Seed: 1, FaultDuration: 8 * time.Second, Endings: true})
	if report.Answered < 100 || len(report.Endings) < 3 {
		t.Errorf("the run tells too little: %d answered, broken: %v", report.Answered, report.Endings)
	}
}

// Guards against requests that run without an API key in force, callers that are rejected with one, and
// targets that get keys or organisations of others, while keys are added and dropped beside faults of
// instances, the store and the links to it.
func TestSoakWithOrganisations(t *testing.T) {
	report := runSoak(t, soak.Options{Seed: 5, FaultDuration: 14 * time.Second, Organisations: 6})
	t.Log(report.Keys)
	if k := report.Keys; k.Used < 500 || k.Rejected < 100 || k.Refused == 0 || k.Late < 20 {
		t.Errorf("the run tells too little: %v", k)
	}
}
