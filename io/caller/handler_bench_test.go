package caller_test

import (
	"fmt"
	"testing"

	"gorseline/core"
	"gorseline/io/caller"
)

// largeFleet provides a configuration with the targets of a fleet of the design size.
type largeFleet struct {
	fakeInstance
	configuration core.Configuration
}

func (f *largeFleet) Configuration() core.Configuration { return f.configuration }

// Measures the overhead of the callers' API per completion in a fleet of the design size.
func BenchmarkCompletionAtDesignSize(b *testing.B) {
	fleet := &largeFleet{}
	fleet.configuration = fleet.fakeInstance.Configuration()
	for i := range 4500 {
		fleet.configuration.Targets = append(fleet.configuration.Targets, core.Target{
			ID: core.TargetID(fmt.Sprint("e", i)), Service: "llm", Models: []core.Model{core.Model(fmt.Sprint("m", i%31))},
		})
	}
	h := caller.NewHandler(caller.Options{
		Configuration: fleet, Dispatcher: &fakeDispatcher{}, Addresses: fleet, Admission: fleet,
		Clock: core.NewProcessClock(), MaxBodyBytes: 1 << 20,
	})
	for b.Loop() {
		send(h, "POST", "/v1/completions", `{"model":"m30","prompt":"one two"}`, "X-Organisation", "chess")
	}
}
