package policy_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/policy"
	"gorseline/core/routing"
)

const (
	tick        = 10 * time.Millisecond
	prefillRate = 8000.0
	stepBase    = 12 * time.Millisecond
	perSequence = 300 * time.Microsecond
)

// sequence is a request on a fake engine, with its remaining prompt and output tokens.
type sequence struct {
	req      *core.Request
	decision core.Decision
	prompt   float64
	output   float64
}

// engine is a fake engine. It computes one prompt at a time, urgent ones first, and
// generates tokens for all sequences whose prompt is computed.
type engine struct{ prompts, running []*sequence }

func (e *engine) advance(finish func(*sequence)) {
	if len(e.prompts) > 0 {
		head := slices.IndexFunc(e.prompts, func(s *sequence) bool { return s.req.Kind.Urgent })
		head = max(0, head)
		e.prompts[head].prompt -= prefillRate * tick.Seconds()
		if e.prompts[head].prompt <= 0 {
			e.running = append(e.running, e.prompts[head])
			e.prompts = slices.Delete(e.prompts, head, head+1)
		}
	}
	step := stepBase + perSequence*time.Duration(len(e.running))
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		s.output -= float64(tick) / float64(step)
		if s.output <= 0 {
			finish(s)
		}
		return s.output <= 0
	})
}

func (e *engine) report() core.LoadReport {
	report := core.LoadReport{QueuedRequests: len(e.prompts), Running: len(e.running), Role: core.RoleMixed, Model: "m"}
	for _, s := range e.prompts {
		report.QueuedPromptTokens += int(s.prompt)
	}
	return report
}

// arrivals returns the requests that arrive in one tick: dossiers whose prompts need three
// times the prefill rate of the engines, and urgent clerk queries. One dossier in 20 comes
// from a small organisation, the others from a greedy one.
func arrivals(source *rand.Rand, now core.Instant, engines int) (result []*core.Request) {
	const dossierTokens, queryTokens = 6000, 200
	add := func(org core.Organisation, kind core.Kind, prompt, output int) {
		result = append(result, &core.Request{
			Organisation: org, Kind: kind, Model: "m", PromptTokens: prompt, OutputTokens: output,
			Arrived: now, Deadline: now.Add(kind.Deadline),
		})
	}
	dossier := core.Kind{Name: "Dossier", Weight: 5, Deadline: 30 * time.Second}
	query := core.Kind{Name: "ClerkQuery", Weight: 1, Deadline: 3 * time.Second, Urgent: true, Priority: 1}
	if source.Float64() < 3*prefillRate*float64(engines)*tick.Seconds()/dossierTokens {
		org := core.Organisation("greedy")
		if source.Intn(20) == 0 {
			org = "small"
		}
		add(org, dossier, dossierTokens, 100)
	}
	if source.Float64() < 0.2 {
		add("clerks", query, queryTokens, 30)
	}
	return result
}

// Guards against an overload by one organisation, at three times the engines' capacity,
// that makes urgent queries miss their deadlines or gets a small organisation's requests
// refused, and against load shedding that leaves capacity idle.
func TestOverloadProtectsUrgentKindsAndSmallOrganisations(t *testing.T) {
	const engines, minutes = 4, 3
	source := rand.New(rand.NewSource(7))
	store := routing.NewStore(routing.StoreOptions{})
	var targets []core.Target
	fakes := map[core.TargetID]*engine{}
	for i := range engines {
		target := core.Target{ID: core.TargetID(fmt.Sprint("e", i)), Models: []core.Model{"m"}, Role: core.RoleMixed}
		targets = append(targets, target)
		fakes[target.ID] = &engine{}
	}
	store.SetTargets(targets)
	full, err := policy.New(core.PolicyDocument{Name: "p", Type: "Full"}, policy.Options{Seed: 7})
	if err != nil {
		t.Fatal(err)
	}
	offered, inTime := map[string]int{}, map[string]int{}
	counted := func(req *core.Request) bool { return req.Deadline < core.Instant(minutes*time.Minute) }
	name := func(req *core.Request) string { return string(req.Organisation) }
	for i := range int(minutes * time.Minute / tick) {
		now := core.Instant(i+1) * core.Instant(tick)
		for _, target := range targets {
			fakes[target.ID].advance(func(s *sequence) {
				met := now <= s.req.Deadline
				full.Finish(now, s.req, met)
				store.Finished(now, s.decision)
				if met && counted(s.req) {
					inTime[name(s.req)]++
				}
			})
			if i%200 == 0 {
				store.Report(now, target.ID, fakes[target.ID].report())
			}
		}
		for _, req := range arrivals(source, now, engines) {
			if counted(req) {
				offered[name(req)]++
			}
			decision := full.Route(now, req, store)
			if !full.Admit(now, req, decision.Estimate).Admitted {
				continue
			}
			store.Sent(now, req, decision)
			fake := fakes[decision.Target]
			fake.prompts = append(fake.prompts, &sequence{req, decision, float64(req.PromptTokens), float64(req.OutputTokens)})
		}
	}
	t.Logf("offered %v, in time %v", offered, inTime)
	if float64(inTime["clerks"]) < 0.999*float64(offered["clerks"]) {
		t.Errorf("%d of %d urgent queries in time", inTime["clerks"], offered["clerks"])
	}
	if float64(inTime["small"]) < 0.9*float64(offered["small"]) {
		t.Errorf("%d of %d dossiers of the small organisation in time", inTime["small"], offered["small"])
	}
	// Dossiers of the last 30 s are not counted: their deadlines are after the end of the run.
	possible := prefillRate / 6000 * engines * (minutes*60 - 30)
	if total := float64(inTime["small"] + inTime["greedy"]); total < 0.75*possible {
		t.Errorf("%.0f dossiers in time, the prefill rate allows %.0f", total, possible)
	}
}
