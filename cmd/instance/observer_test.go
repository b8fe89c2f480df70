package instance

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a member that disappears without an event, and against events for all
// members at the first observation after a start.
func TestChangesAreReportedOnce(t *testing.T) {
	var got []string
	observe := func(before, after map[string]string) {
		reportChanges(before, after, func(key, from, to string) { got = append(got, key+" "+orNone(from)+" "+orNone(to)) })
	}
	observe(nil, map[string]string{"a": "Alive"})
	observe(map[string]string{"a": "Alive", "b": "Alive", "c": "Alive"}, map[string]string{"a": "Alive", "b": "Suspect", "d": "Alive"})
	slices.Sort(got)
	if diff := cmp.Diff([]string{"b Alive Suspect", "c Alive None", "d None Alive"}, got); diff != "" {
		t.Error(diff)
	}
}
