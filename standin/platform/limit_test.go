package platform_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	client "gorseline/platform"
	"gorseline/standin/platform"
)

// Guards against a limit that is overlooked because of the kind of the answer that states it.
func TestEachAnswerStatesTheLimit(t *testing.T) {
	tests := []struct {
		path   string
		phases []string
		fault  platform.RequestFault
		target int
	}{
		{"/once/x", []string{""}, "", 0},
		{"/safe/x", []string{"", ""}, platform.Fail, 0},
		{"/once/x", []string{"", ""}, platform.Shed, 0},
		{"/once/x", []string{""}, platform.Extra, 0},
		{"/single/x", []string{"prefill", "decode"}, "", 0},
		{"/single/x", []string{"prefill", "decode"}, "", 1},
		{"/single/x", []string{"prefill", "decode"}, platform.CutStream, 1},
	}
	for _, test := range tests {
		t.Run(test.path[1:5]+string(test.fault)+strconv.Itoa(test.target), func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.phases...)
			for _, tg := range f.targets {
				tg.InjectFaults(test.fault)
			}
			f.targets[test.target].SetLimit(2.5)
			f.sendPrompt(t.Context(), test.path)
			_, rate := f.limitOf(test.target)
			if rate != 2.5 {
				t.Errorf("limit %v is known", rate)
			}
		})
	}
}

// limitOf returns whether the limit of a target is known to be over, and its rate.
func (f *fixture) limitOf(index int) (isOver bool, rate float64) {
	for _, fact := range f.limits.Facts(0) {
		if string(fact.Target) == f.targets[index].ID() {
			return fact.IsOver, fact.Rate
		}
	}
	return false, 0
}

// Guards against a limited target that gets requests which others could serve, and against callers
// that wait where no target has room.
func TestRequestsBeyondTheLimitGoElsewhereOrAreRefused(t *testing.T) {
	f := newFixture(t, "", "")
	f.targets[0].SetLimit(1)
	for i := range 40 {
		if got := f.do(t.Context(), http.MethodPost, "/once/x", fmt.Sprint("r", i), ""); got.status != http.StatusOK {
			t.Fatalf("response %+v", got)
		}
	}
	if count := len(f.targets[0].Arrivals()); count > 3 {
		t.Errorf("%d requests reached the limited target", count)
	}
	f.targets[1].SetLimit(1)
	f.do(t.Context(), http.MethodPost, "/once/x", "last", "")
	began := time.Now()
	got := f.do(t.Context(), http.MethodPost, "/once/x", "refused", "")
	if took := time.Since(began); got.status != http.StatusServiceUnavailable || took > 200*time.Millisecond {
		t.Fatalf("response %+v after %v", got, took)
	}
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || after <= 0 || after > 1.2 {
		t.Errorf("Retry-After %q", got.header.Get("Retry-After"))
	}
}

// Guards against a malformed limit that ends or replaces the one that a target has stated.
func TestMalformedLimitChangesNothing(t *testing.T) {
	for text, want := range map[string]float64{"2.5": 2.5, "7": 7, "0": 0, "1e3": 1000} {
		rate, isStated, err := client.Dialect{}.StatedLimit(http.Header{"Server-Limit": {text}})
		if err != nil || !isStated || rate != want {
			t.Errorf("%q: %v, %v, %v", text, rate, isStated, err)
		}
	}
	for _, text := range []string{"-1", "NaN", "Inf", "many", "1,5", "1e10", " "} {
		if rate, isStated, err := (client.Dialect{}).StatedLimit(http.Header{"Server-Limit": {text}}); err == nil || isStated {
			t.Errorf("%q: %v, %v", text, rate, isStated)
		}
	}
	if _, isStated, err := (client.Dialect{}).StatedLimit(http.Header{}); isStated || err != nil {
		t.Error("a limit without the header")
	}
}
