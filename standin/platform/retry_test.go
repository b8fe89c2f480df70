package platform_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"gorseline/core"
	"gorseline/core/retry"
	"gorseline/standin/platform"
)

// grantRetries gives each service of the fixture exactly n retries.
func (f *fixture) grantRetries(n int) {
	f.budgets.SetLimits(float64(n), float64(n)/retry.GrantedBurstShare)
	for _, service := range []core.Service{"calls", "models"} {
		f.budgets.Deposit(service)
	}
	f.budgets.SetLimits(0, float64(n)/retry.GrantedBurstShare)
}

// extraArrivals returns the number of arrivals of a request at all targets beyond the first. The
// first computation of its prompt that a target accepts isn't counted.
func (f *fixture) extraArrivals(id string) int {
	count, computed := 0, false
	for _, tg := range f.targets {
		for _, a := range tg.Arrivals() {
			if a.ID != id {
				continue
			}
			if a.Prefill && a.Accepted && !computed {
				computed = true
				continue
			}
			count++
		}
	}
	return max(0, count-1)
}

// Guards against a send that takes no retry from the budget, such as the second computation of a
// prompt, whatever the targets do: users saw repeats beyond the shared limit.
func TestEachExtraArrivalTakesARetry(t *testing.T) {
	faults := []platform.RequestFault{
		"", platform.Shed, platform.Shed, platform.LoseHandle, platform.LoseHandle, platform.Fail, platform.Reset, platform.CutStream,
		platform.Torn, platform.Early,
	}
	rng := rand.New(rand.NewPCG(25, 1))
	for _, path := range []string{"/single/x", "/resumable/x", "/safe/x", "/once/x"} {
		phases := []string{"prefill", "prefill", "decode", "decode", "decode"}
		if path == "/safe/x" || path == "/once/x" {
			phases = []string{"", "", ""}
		}
		for i := range 60 {
			f := newFixture(t, phases...)
			retries := rng.IntN(4)
			f.grantRetries(retries)
			injected := map[string][]platform.RequestFault{}
			for _, tg := range f.targets {
				for range 3 {
					fault := faults[rng.IntN(len(faults))]
					injected[tg.ID()] = append(injected[tg.ID()], fault)
					tg.InjectFaults(fault)
				}
			}
			id := fmt.Sprintf("r%d", i)
			f.do(t.Context(), http.MethodPost, path, id, "the prompt", "X-Model", "m", "X-Token-Count", "3000,8",
				"X-Prompt-Prefix", "ab:2500,cd:500")
			if extra := f.extraArrivals(id); extra > retries {
				t.Errorf("%s %s: %d arrivals beyond the first with %d retries; faults %v", path, id, extra, retries, injected)
			}
			f.close()
		}
	}
}
