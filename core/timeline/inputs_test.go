package timeline_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gorseline/core/timeline"
)

// Guards against reports and documentation that show wrong inputs of a decision, because a value
// contains spaces or quotes or the inputs exceed the inline buffer.
func TestInputsRoundTrip(t *testing.T) {
	long := strings.Repeat("long ", 60)
	var inputs timeline.Inputs
	inputs.Text("Kind", "ClerkQuery").Text("Note", `peak "now" = 3`).Text("Empty", "").Int("Tokens", 42).
		Duration("Remaining", 1800*time.Millisecond).Bool("InTime", true).Float("Gain", 2.5).Text("Long", long)
	want := map[string]string{
		"Kind": "ClerkQuery", "Note": `peak "now" = 3`, "Tokens": "42", "Remaining": "1800.0ms",
		"InTime": "true", "Gain": "2.5", "Long": long,
	}
	if diff := cmp.Diff(want, timeline.ParseInputs(inputs.String())); diff != "" {
		t.Error(diff)
	}
	if got := timeline.ParseInputs("shard 2 fence 7"); len(got) != 0 {
		t.Errorf("a detail without inputs gave %v", got)
	}
}

func BenchmarkInputs(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var inputs timeline.Inputs
		inputs.Text("Kind", "ClerkQuery").Text("Policy", "full").Int("Revision", 42).
			Duration("ExpectedTotal", 1800*time.Millisecond).Duration("ExpectedQueue", 3*time.Millisecond)
		if inputs.String() == "" {
			b.Fatal("empty")
		}
	}
}
