package admission_test

import (
	"fmt"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/admission"
	"gorseline/core/common/random"
)

// admittedAfter has requests answered that took factor times as long as estimated, and
// returns whether one with the same estimate is then admitted.
func admittedAfter(factor float64, options admission.Options) bool {
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

// An estimate that leaves out what delays the answers must not admit requests in vain for
// long; one that is right or too high must not be changed, or queues would stay short.
func TestLateAnswersCorrectEstimate(t *testing.T) {
	options := admission.DefaultOptions()
	if admittedAfter(1.4, options) {
		t.Error("admitted although all answers with this estimate were late")
	}
	if !admittedAfter(1, options) || !admittedAfter(0.7, options) {
		t.Error("refused although all answers with this estimate were in time")
	}
	options.Calibrate = false
	if !admittedAfter(1.4, options) {
		t.Error("estimate corrected although calibration is off")
	}
}
