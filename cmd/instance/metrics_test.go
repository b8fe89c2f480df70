package instance

import (
	"io"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"gorseline/core"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
)

// assembledRegistry returns the registry of an instance that is assembled but not started.
// Metrics that are registered with their first value have one value each.
func assembledRegistry(t *testing.T) metrics.Registry {
	t.Helper()
	i, err := New(testSettings(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	registry := i.servers.registry
	in := newInstruments(registry)
	request := &core.Request{Kind: core.Kind{Name: "<Kind>"}}
	in.RequestFinished(dispatch.FinishedRequest{Request: request, Outcome: core.OutcomeDone, InTime: true, StreamStats: dispatch.StreamStats{FirstToken: time.Second}})
	in.RequestFinished(dispatch.FinishedRequest{Request: request, Outcome: core.OutcomeNotRun, Refused: true, Reason: "<Reason>"})
	clock := timeline.NewClock(timeline.WallTime)
	newRecorder(timeline.New("a", clock, 1), in).Record(core.Event{Kind: "<EventKind>"})
	return registry
}

func testSettings() Settings {
	return Settings{
		Instance: "entry-1", DataCentre: "athens-a",
		CallersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0", PeersListen: "127.0.0.1:0",
		TableURL: "http://127.0.0.1:1", ObjectsURL: "http://127.0.0.1:1", InstancesURL: "http://127.0.0.1:1",
		ResumeKey: "test-key-not-secret", Shards: 4, Groups: 1, LoadPolls: 64, MaxBody: 8 << 20, MaxHeader: 64 << 10,
		HeaderTimeout: 10 * time.Second, BodyTimeout: time.Minute, IdleTimeout: time.Minute, LeaveTimeout: time.Minute,
		EventsKept: 64, LogLevel: "info",
	}
}

var (
	listedName  = regexp.MustCompile("(?m)^\\| `([^`]+)`")
	outcomeName = regexp.MustCompile(`^(Requests\.<Kind>\.)(Done|NotRun)$`)
)

// Guards against docs/METRICS.md listing a metric that instances don't serve, or lacking one
// that they serve.
func TestMetricsPageMatchesRegistry(t *testing.T) {
	page, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed, served []string
	for _, match := range listedName.FindAllSubmatch(page, -1) {
		listed = append(listed, string(match[1]))
	}
	assembledRegistry(t).Each(func(name string, _ any) {
		served = append(served, outcomeName.ReplaceAllString(name, "${1}<Outcome>"))
	})
	slices.Sort(listed)
	slices.Sort(served)
	if diff := cmp.Diff(listed, slices.Compact(served)); diff != "" {
		t.Errorf("docs/METRICS.md against the registry:\n%s", diff)
	}
}
