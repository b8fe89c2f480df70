package instance

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a member that vanishes from the view without an event, and against
// events for everything that is there when an instance starts.
func TestChangesAreReportedOnce(t *testing.T) {
	var got []string
	look := func(before, after map[string]string) {
		changes(before, after, func(key, from, to string) { got = append(got, key+" "+orNone(from)+" "+orNone(to)) })
	}
	look(nil, map[string]string{"a": "Alive"})
	look(map[string]string{"a": "Alive", "b": "Alive", "c": "Alive"}, map[string]string{"a": "Alive", "b": "Suspect", "d": "Alive"})
	slices.Sort(got)
	if diff := cmp.Diff([]string{"b Alive Suspect", "c Alive None", "d None Alive"}, got); diff != "" {
		t.Error(diff)
	}
}
