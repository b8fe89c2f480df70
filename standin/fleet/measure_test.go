package fleet_test

import (
	"math"
	"testing"
	"time"

	"gorseline/standin/fleet"
)

// Guards against a control plane that exceeds its limits: traffic of 3 KB/s per
// instance, a table load of 1,000 reads/s and 200 writes/s for the whole fleet, and a
// time until a change is in force of 2 s on 9 instances and 9 s after the loss of a data
// centre. The overhead of calls is fixed, so the test needs no network.
func TestControlPlaneStaysWithinItsLimits(t *testing.T) {
	for _, size := range []struct{ instances, centres int }{{9, 3}, {48, 6}} {
		m, err := fleet.Measure(fleet.MeasureOptions{
			Instances: size.instances, DataCentres: size.centres, Seed: 1, Warmup: 15 * time.Second, Window: time.Minute,
			Targets: 50, Organisations: 20, Overhead: fleet.Overhead{CallBytes: 60, HeadBytes: 400},
		})
		if err != nil {
			t.Fatal(err)
		}
		if m.Bytes > 3000 || m.BusiestBytes > 3000 {
			t.Errorf("%d instances: %.0f B/s, the busiest %.0f B/s", size.instances, m.Bytes, m.BusiestBytes)
		}
		if m.TableReads > 1000 || m.TableWrites > 200 {
			t.Errorf("%d instances: %.1f reads/s, %.1f writes/s", size.instances, m.TableReads, m.TableWrites)
		}
		if m.Late > 0 || m.Reverts > 0 || m.InForceLost > 9 || size.instances == 9 && m.InForce > 2 {
			t.Errorf("%d instances: %+v", size.instances, m)
		}
	}
}

// Guards against a fit that deviates from measurements that lie on a line.
func TestFitIsExactOnALine(t *testing.T) {
	measurements := []fleet.Measurement{{Instances: 9, Bytes: 109}, {Instances: 60, Bytes: 160}, {Instances: 240, Bytes: 340}}
	line := fleet.Fit(measurements, func(m fleet.Measurement) float64 { return m.Bytes })
	if got := line.At(680); math.Abs(got-780) > 1e-6 {
		t.Errorf("%v at 680: %v", line, got)
	}
	if flat := fleet.Fit(measurements[:1], func(m fleet.Measurement) float64 { return m.Bytes }); flat.At(680) != 109 {
		t.Errorf("the fit of one measurement is not flat: %v", flat)
	}
}
