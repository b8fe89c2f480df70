package platform_test

import (
	"net/http"
	"testing"
	"time"

	"gorseline/standin/platform"
)

// maxEndlessBytes is what a target may send of bytes without end, with the buffers of its connection,
// before the instance closes it.
const maxEndlessBytes = 16 << 20

// Guards against bytes without end that hold back a request which another target could serve.
func TestEndlessBytesDoNotHoldBackRequests(t *testing.T) {
	tests := []struct {
		path   string
		phases []string
		fault  platform.RequestFault
		// target is the index of the target with the fault.
		target int
	}{
		{"/safe/x", []string{"", ""}, platform.EndlessHead, 0},
		{"/safe/x", []string{"", ""}, platform.EndlessInterim, 0},
		{"/once/x", []string{"", ""}, platform.EndlessRefusal, 0},
		{"/once/x", []string{"", ""}, platform.DrippingRefusal, 0},
		{"/resumable/x", []string{"prefill", "prefill", "decode"}, platform.EndlessHead, 0},
		{"/resumable/x", []string{"prefill", "prefill", "decode"}, platform.EndlessInterim, 0},
		{"/resumable/x", []string{"prefill", "prefill", "decode"}, platform.EndlessBody, 0},
		{"/single/x", []string{"prefill", "prefill", "decode"}, platform.EndlessRefusal, 0},
		{"/single/x", []string{"prefill", "prefill", "decode"}, platform.DrippingRefusal, 0},
		{"/single/x", []string{"prefill", "prefill", "decode"}, platform.DrippingBody, 0},
		{"/resumable/x", []string{"prefill", "decode", "decode"}, platform.EndlessHead, 1},
		{"/resumable/x", []string{"prefill", "decode", "decode"}, platform.EndlessInterim, 1},
		{"/resumable/x", []string{"prefill", "decode", "decode"}, platform.EndlessBody, 1},
		{"/single/x", []string{"prefill", "decode", "decode"}, platform.EndlessRefusal, 1},
		{"/single/x", []string{"prefill", "decode", "decode"}, platform.DrippingRefusal, 1},
		{"/resumable/x", []string{"prefill", "decode", "decode"}, platform.DrippingBody, 1},
	}
	for _, test := range tests {
		t.Run(test.path[1:5]+string(test.fault)+test.phases[test.target], func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, test.phases...)
			f.targets[test.target].InjectFaults(test.fault)
			// Of two idle plain targets either may be chosen.
			for range 20 {
				began := time.Now()
				got := f.sendPrompt(t.Context(), test.path)
				if took := time.Since(began); got.status != http.StatusOK || got.err != nil || took > routeTimeout/2 {
					t.Fatalf("response %+v after %v", got, took)
				}
				if f.targets[test.target].EndlessBytes() > 0 {
					break
				}
			}
			if sent := f.targets[test.target].EndlessBytes(); sent == 0 || sent > maxEndlessBytes {
				t.Errorf("%d bytes were read", sent)
			}
		})
	}
}

// maxRelayedBytes is what a target may send of an endless body, with the buffers of its connection.
const maxRelayedBytes = 80 << 20

// Guards against bytes without end that are read beyond the time of the request, relayed as fast as
// they come, or that make a broken answer look complete.
func TestEndlessBodyEndsWithItsRequest(t *testing.T) {
	for _, path := range []string{"/once/x", "/single/x"} {
		t.Run(path[1:5], func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "", "decode")
			for _, tg := range f.targets {
				tg.InjectFaults(platform.EndlessBody)
			}
			got := f.sendPrompt(t.Context(), path)
			if got.status == http.StatusOK && got.err == nil {
				t.Errorf("%d bytes look like a complete answer", len(got.body))
			}
			tg := f.targets[0]
			if path == "/single/x" {
				tg = f.targets[1]
			}
			// The caller may take longer to read what is buffered.
			f.closeServer() // waits for the request, which writes the last log line
			arrived := tg.Arrivals()[0].At
			for len(tg.EndlessEnds()) == 0 && time.Since(arrived) < routeTimeout+time.Second {
				time.Sleep(10 * time.Millisecond) // the target notices the end at its next write
			}
			if ends := tg.EndlessEnds(); len(ends) == 0 || ends[0].Sub(arrived) > routeTimeout+time.Second {
				t.Errorf("the connection of the request of %v ended at %v", arrived, ends)
			}
			for _, e := range f.logs.Entries {
				if took, ok := e.Fields["TookMs"].(int64); ok && e.Message == "RequestEnded" && took > (routeTimeout+time.Second).Milliseconds() {
					t.Errorf("the request ended after %d ms", took)
				}
			}
			if len(got.body) > maxRelayedBytes {
				t.Errorf("%d bytes were relayed", len(got.body))
			}
			time.Sleep(100 * time.Millisecond) // the target notices that its connection was closed
			before := f.targets[0].EndlessBytes() + f.targets[1].EndlessBytes()
			time.Sleep(100 * time.Millisecond)
			if after := f.targets[0].EndlessBytes() + f.targets[1].EndlessBytes(); after != before {
				t.Errorf("%d more bytes were read", after-before)
			}
		})
	}
}
