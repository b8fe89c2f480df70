package fleet_test

import (
	"math"
	"testing"
	"time"

	"gorseline/standin/fleet"
)

// Guards against control traffic, table load or times in force beyond the stated
// targets: 3 KB/s per instance, 1,000 reads/s and 200 writes/s in all, 2 s on 9
// instances and 9 s with a lost data centre. The overhead is fixed, so that the
// test needs no network.
func TestControlStaysWithinItsTargets(t *testing.T) {
	for _, size := range []struct{ instances, centres int }{{9, 3}, {48, 6}} {
		f, err := fleet.Measure(fleet.MeasureOptions{
			Instances: size.instances, DataCentres: size.centres, Seed: 1, Warmup: 15 * time.Second, Window: time.Minute,
			Targets: 50, Organisations: 20, Overhead: fleet.Overhead{CallBytes: 60, HeadBytes: 400},
		})
		if err != nil {
			t.Fatal(err)
		}
		if f.Bytes > 3000 || f.BusiestBytes > 3000 {
			t.Errorf("%d instances: %.0f B/s, the busiest %.0f B/s", size.instances, f.Bytes, f.BusiestBytes)
		}
		if f.TableReads > 1000 || f.TableWrites > 200 {
			t.Errorf("%d instances: %.1f reads/s, %.1f writes/s", size.instances, f.TableReads, f.TableWrites)
		}
		if f.Late > 0 || f.Reverts > 0 || f.InForceLost > 9 || size.instances == 9 && f.InForce > 2 {
			t.Errorf("%d instances: %+v", size.instances, f)
		}
	}
}

// Guards against an extrapolation that leaves the line through the measurements.
func TestFitIsExactOnALine(t *testing.T) {
	list := []fleet.Measurement{{Instances: 9, Bytes: 109}, {Instances: 60, Bytes: 160}, {Instances: 240, Bytes: 340}}
	line := fleet.Fit(list, func(f fleet.Measurement) float64 { return f.Bytes })
	if got := line.At(680); math.Abs(got-780) > 1e-6 {
		t.Errorf("%v at 680: %v", line, got)
	}
	if flat := fleet.Fit(list[:1], func(f fleet.Measurement) float64 { return f.Bytes }); flat.At(680) != 109 {
		t.Errorf("one measurement gave %v", flat)
	}
}
