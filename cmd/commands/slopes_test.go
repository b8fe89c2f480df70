package commands

import (
	"bytes"
	"strings"
	"testing"

	"gorseline/standin/fleet"
)

// Guards against fleet sizes that exhaust the memory or are too small for the data centres,
// and against an error that does not list the accepted values.
func TestFleetSizesAreValidated(t *testing.T) {
	var sizes intList
	if err := sizes.UnmarshalFlag("9, 60"); err != nil || len(sizes) != 2 || sizes[1] != 60 {
		t.Errorf("%v, %v", sizes, err)
	}
	for _, value := range []string{"", "two", "0", "9,5000"} {
		if err := sizes.UnmarshalFlag(value); err == nil || !strings.Contains(err.Error(), "accepted: 3 to 1000") {
			t.Errorf("%q: %v", value, err)
		}
	}
}

// Guards against figures that are printed under the name of another one, and against lines
// fitted to fleets with different numbers of data centres.
func TestSlopesMatchTheirNames(t *testing.T) {
	list := []fleet.Measurement{
		{Instances: 9, DataCentres: 3, Bytes: 5000},
		{Instances: 60, DataCentres: 6, TableReads: 19, Bytes: 900, InForceLost: 0.4},
		{Instances: 240, DataCentres: 6, TableReads: 19, Bytes: 900, InForceLost: 0.4},
	}
	expected := map[string]float64{"table reads": 19, "traffic per instance": 900, "in force, centre lost": 0.4}
	lines := slopes(list)
	if len(lines) != len(values(list[0])) {
		t.Fatalf("%d lines for %d figures", len(lines), len(values(list[0])))
	}
	for _, l := range lines {
		if want, ok := expected[l.Name]; ok && (l.AtDesignSize < want*0.999 || l.AtDesignSize > want*1.001) {
			t.Errorf("%s: %v at the design size, expected %v", l.Name, l.AtDesignSize, want)
		}
	}
	var out bytes.Buffer
	if err := (slopesReport{Measurements: list, Lines: lines}).print(&out); err != nil || !strings.Contains(out.String(), "240 instances in 6 data centres") {
		t.Errorf("%v: %s", err, out.String())
	}
}
