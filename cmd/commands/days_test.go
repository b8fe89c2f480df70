package commands

import "testing"

// Guards against noise that is reported as a difference, and against seeds that only one version
// has played.
func TestDifferencesBeyondNoise(t *testing.T) {
	base := map[int]float64{1: 0.60, 2: 0.70, 3: 0.65, 4: 0.62}
	for _, test := range []struct {
		name  string
		after map[int]float64
		want  string
	}{
		{"better on each seed alike", map[int]float64{1: 0.63, 2: 0.73, 3: 0.68, 4: 0.66, 5: 0.1}, "better"},
		{"worse on each seed alike", map[int]float64{1: 0.57, 2: 0.67, 3: 0.62, 4: 0.58}, "worse"},
		{"up and down", map[int]float64{1: 0.70, 2: 0.62, 3: 0.75, 4: 0.60}, "noise"},
		{"one common seed", map[int]float64{1: 0.9}, "unknown, one seed"},
	} {
		if got := compareSeeds(base, test.after).verdict(); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
	if _, err := parseCheckouts([]string{"base"}); err == nil {
		t.Error("no error for a version without a directory")
	}
}
