package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/admission"
	"gorseline/core/common/random"
)

func request(org core.Organisation, kind string, urgent bool, weight float64) *core.Request {
	return &core.Request{
		Organisation: org,
		Kind:         core.Kind{Name: core.KindName(kind), Urgent: urgent, Weight: weight},
		Model:        "m",
		PromptTokens: 1000,
		Deadline:     core.Instant(time.Hour),
	}
}

func queued(queue time.Duration) core.Estimate {
	return core.Estimate{FirstToken: queue + time.Second, Queue: queue, Total: queue + 10*time.Second}
}

func newController(change func(*admission.Options)) *admission.Controller {
	options := admission.DefaultOptions()
	change(&options)
	return admission.NewController(options, random.New(7))
}

// Guards against counters that leak or become negative: a naive model that counts the requests
// in flight must agree on every refusal by a limit.
func TestLimitsMatchCountingModel(t *testing.T) {
	options := admission.Unlimited()
	options.MaxConcurrent, options.MinConcurrent = 12, 12
	options.UrgentShare = 0.25
	options.KindLimits = map[core.KindName]int{"note": 5}
	options.OrganisationLimits = map[core.Organisation]int{"a": 4}
	options.ModelLimits = map[core.Model]int{"m": 10}
	rapid.Check(t, func(t *rapid.T) {
		c := admission.NewController(options, random.New(7))
		var inFlight []*core.Request
		count := func(match func(*core.Request) bool) (n int) {
			for _, req := range inFlight {
				if match(req) {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(inFlight) > 0 && rapid.Bool().Draw(t, "finish") {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				c.Finish(0, inFlight[i], true)
				inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				continue
			}
			org := rapid.SampledFrom([]core.Organisation{"a", "b"}).Draw(t, "organisation")
			req := request(org, rapid.SampledFrom([]string{"note", "query"}).Draw(t, "kind"), rapid.Bool().Draw(t, "urgent"), 1)
			want := !(req.Kind.Name == "note" && count(func(r *core.Request) bool { return r.Kind.Name == "note" }) >= 5) &&
				!(org == "a" && count(func(r *core.Request) bool { return r.Organisation == "a" }) >= 4) &&
				len(inFlight) < 10 && (req.Kind.Urgent || len(inFlight) < 9)
			got := c.Admit(0, req, core.Estimate{})
			if got.Admitted != want || !got.Admitted && got.RetryAfter <= 0 {
				t.Fatalf("got %+v, want admitted %v with %d in flight", got, want, len(inFlight))
			}
			if got.Admitted {
				inFlight = append(inFlight, req)
			}
		}
	})
}

// Guards against starvation: the requests of a small organisation must be admitted beside one
// that sends 20 times as much, both when slots are scarce and when queues are long.
func TestOneOrganisationCannotStarveOthers(t *testing.T) {
	scarce := map[string]func(inFlight int) core.Estimate{
		"slots": func(int) core.Estimate { return queued(0) },
		// Each request in flight adds a minute of queue; the deadline allows about an hour.
		"time": func(inFlight int) core.Estimate { return queued(time.Duration(inFlight) * time.Minute) },
	}
	for name, estimate := range scarce {
		c := newController(func(o *admission.Options) { o.MaxConcurrent, o.Adaptive = 100, false })
		var inFlight []*core.Request
		small, smallRefused, greedy := 0, 0, 0
		for step := range 4000 {
			now := core.Instant(step) * core.Instant(10*time.Millisecond)
			if step%4 == 3 && len(inFlight) > 0 {
				c.Finish(now, inFlight[0], true)
				inFlight = inFlight[1:]
			}
			req := request("greedy", "note", false, 1)
			if step%20 == 0 {
				req.Organisation = "small"
			}
			req.Deadline = now.Add(time.Hour)
			got := c.Admit(now, req, estimate(len(inFlight)))
			switch {
			case got.Admitted:
				inFlight = append(inFlight, req)
				if req.Organisation == "greedy" {
					greedy++
				}
			case req.Organisation == "small":
				smallRefused++
			}
			if req.Organisation == "small" {
				small++
			}
		}
		if smallRefused > small/100 {
			t.Errorf("%s: %d of %d requests of the small organisation were refused", name, smallRefused, small)
		}
		if greedy < 600 {
			t.Errorf("%s: the large organisation got only %d requests", name, greedy)
		}
	}
}

// Guards against long prompts that use up the capacity which urgent short kinds need.
func TestUrgentKindsKeepCapacity(t *testing.T) {
	c := newController(func(o *admission.Options) { o.MaxConcurrent, o.FairShares = 100, false })
	dossiers := 0
	for i := range 200 {
		if c.Admit(0, request(core.Organisation(fmt.Sprint(i)), "dossier", false, 5), queued(0)).Admitted {
			dossiers++
		}
	}
	if dossiers != 90 {
		t.Errorf("%d dossiers were admitted, want 90 of 100 slots", dossiers)
	}
	for range 10 {
		query := request("clerk", "query", true, 1)
		// The queue estimate may be too long for engines that serve urgent requests first.
		if got := c.Admit(0, query, queued(2*time.Hour)); !got.Admitted {
			t.Errorf("urgent query: %+v", got)
		}
	}
}

// Guards against refusing higher weights before lower ones, and against refusing a request on
// an idle system because of its long service time.
func TestLowestWeightIsRefusedFirst(t *testing.T) {
	refusedAt := func(weight float64) time.Duration {
		for queue := time.Duration(0); queue < 2*time.Hour; queue += time.Minute {
			c := newController(func(*admission.Options) {})
			c.Admit(0, request("a", "best", false, 10), queued(0))
			if got := c.Admit(0, request("b", "other", false, weight), queued(queue)); !got.Admitted {
				if got.Reason != core.ReasonDeadline || got.RetryAfter < 100*time.Millisecond {
					t.Errorf("weight %v: %+v", weight, got)
				}
				return queue
			}
		}
		return 2 * time.Hour
	}
	low, middle, high := refusedAt(1), refusedAt(5), refusedAt(10)
	if low >= middle || middle >= high || high != time.Hour {
		t.Errorf("refused from a queue of %v, %v and %v on", low, middle, high)
	}
	c := newController(func(*admission.Options) {})
	slow := core.Estimate{FirstToken: time.Second, Total: 59 * time.Minute}
	if got := c.Admit(0, request("a", "best", false, 0), slow); !got.Admitted {
		t.Errorf("a long answer on an idle target: %+v", got)
	}
}

// Guards against an adaptive limit that does not fall when answers are late, or that doesn't
// recover afterwards.
func TestAdaptiveLimitFollowsLateAnswers(t *testing.T) {
	c := newController(func(o *admission.Options) { o.MaxConcurrent, o.UrgentShare = 200, 0 })
	now := core.Instant(0)
	// Answers are late while more than capacity requests are in flight.
	run := func(seconds, capacity int) (limit int) {
		for range seconds {
			var admitted []*core.Request
			for range 250 {
				req := request("a", "note", false, 1)
				req.Deadline = now.Add(time.Hour)
				if c.Admit(now, req, queued(0)).Admitted {
					admitted = append(admitted, req)
				}
			}
			now = now.Add(time.Second)
			for _, req := range admitted {
				c.Finish(now, req, len(admitted) <= capacity)
			}
		}
		limit, _ = c.Limit("m", "")
		return limit
	}
	if limit := run(60, 50); limit < 40 || limit > 60 {
		t.Errorf("limit %d, the capacity is 50", limit)
	}
	if limit := run(60, 150); limit < 120 || limit > 180 {
		t.Errorf("limit %d, the capacity is 150", limit)
	}
}

// Guards against refusing urgent requests, which bypass the queue, because queued requests are
// late: in a lasting overload the lowered limit refused a tenth of the urgent ones.
func TestLateQueueDoesNotRefuseUrgent(t *testing.T) {
	options := admission.DefaultOptions()
	options.FairShares = false
	c := admission.NewController(options, random.New(1))
	long := &core.Request{Model: "m", Organisation: "a", Kind: core.Kind{Name: "Long", Weight: 5, Deadline: 90 * time.Second}}
	long.Deadline = core.Instant(time.Hour)
	urgent := &core.Request{Model: "m", Organisation: "b", Kind: core.Kind{Name: "Short", Weight: 1, Deadline: 5 * time.Second, Urgent: true}}
	urgent.Deadline = core.Instant(time.Hour)
	for range 400 {
		c.Admit(0, long, core.Estimate{})
	}
	for second := range 10 {
		now := core.Instant(second) * core.Instant(time.Second)
		if !c.Admit(now, urgent, core.Estimate{}).Admitted {
			t.Fatalf("urgent request refused after %d s", second)
		}
		c.Finish(now, urgent, true)
		if second == 2 && c.Admit(now, long, core.Estimate{}).Admitted {
			t.Error("a long request was admitted although all were late")
		}
		for range 20 {
			c.Finish(now, long, false)
		}
	}
}
