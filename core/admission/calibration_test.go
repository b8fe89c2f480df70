package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/admission"
	"gorseline/core/common/random"
)

// isAdmittedAfter finishes 200 requests whose answers take factor times the estimate, and
// reports whether another one with the same estimate is then admitted.
func isAdmittedAfter(factor float64, options admission.Options) bool {
	options.Adaptive = false
	c := admission.NewController(options, random.New(1))
	expected := core.Estimate{Queue: 60 * time.Second, FirstToken: 61 * time.Second, Total: 70 * time.Second}
	request := func(i int) *core.Request {
		at := core.Instant(i) * core.Instant(10*time.Minute)
		return &core.Request{
			ID: core.RequestID(fmt.Sprint(i)), Model: "m", Organisation: "a", Arrived: at, Deadline: at.Add(90 * time.Second),
			Kind: core.Kind{Name: "Long", Weight: 5, Deadline: 90 * time.Second},
		}
	}
	for i := range 200 {
		req := request(i)
		if c.Admit(req.Arrived, req, expected).Admitted {
			took := time.Duration(factor * float64(expected.Total))
			c.Finish(req.Arrived.Add(min(took, 90*time.Second)), req, took <= 90*time.Second)
		}
	}
	req := request(200)
	return c.Admit(req.Arrived, req, expected).Admitted
}

// Guards against an estimate that misses a cause of delay and so keeps admitting requests
// that will be late, and against a correction of estimates that are right or too high, which
// would keep queues needlessly short.
func TestLateAnswersCorrectEstimate(t *testing.T) {
	options := admission.DefaultOptions()
	if isAdmittedAfter(1.4, options) {
		t.Error("admitted although all answers with this estimate were late")
	}
	if !isAdmittedAfter(1, options) || !isAdmittedAfter(0.7, options) {
		t.Error("refused although all answers with this estimate were in time")
	}
	options.Calibrate = false
	if !isAdmittedAfter(1.4, options) {
		t.Error("estimate corrected although calibration is off")
	}
}
