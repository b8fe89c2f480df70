package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/common/random"
	"gorseline/core/load"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/io/forward"
	"gorseline/io/target"
	client "gorseline/platform"
	"gorseline/standin/platform"
)

// Times of the fixture's routes. They allow for a busy machine.
const (
	routeTimeout   = 3 * time.Second
	routeObjective = 400 * time.Millisecond
)

// fixture is a forwarder in front of fake targets.
type fixture struct {
	t         *testing.T
	forwarder *forward.Forwarder
	roster    *roster.Roster
	server    *httptest.Server
	targets   []*platform.Target
	logs      *memory.Handler
}

type noopPublisher struct{}

func (noopPublisher) Sent(load.Item)    {}
func (noopPublisher) Computed(load.Ref) {}
func (noopPublisher) Finished(load.Ref) {}

type noopObserver struct{}

func (noopObserver) ObserveRequest(core.RouteKind, core.OutcomeKind, core.Reason, time.Duration, time.Duration) {
}

func (noopObserver) ObserveSend(core.Service, string) {}

// newFixture starts a forwarder with one target for each of the given phases; an empty phase
// is a plain target.
func newFixture(t *testing.T, phases ...string) *fixture {
	t.Helper()
	r := &fixture{t: t, roster: roster.New(time.Second), logs: memory.New()}
	var list []core.Registration
	for i, phase := range phases {
		tg, err := platform.NewTarget("i-"+string(rune('a'+i)), phase)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tg.Close)
		r.targets = append(r.targets, tg)
		list = append(list, registration(tg, phase))
	}
	r.roster.Replace(0, 1, list)
	source := random.New(7)
	board := load.NewTracker()
	health := retry.NewHealth(retry.DefaultHealthOptions(), source)
	r.forwarder = forward.New(forward.Options{
		Dialect: client.Dialect{}, Pool: target.NewPool(target.PoolOptions{}),
		Assigner: assign.New(assign.Options{
			Loads: board, Health: health, Random: source, Home: "here", Tuning: assign.DefaultTuning(),
		}),
		Loads: board, Roster: r.roster, Health: health,
		Budgets: forward.NewRetryBudgets(forward.RetryBudgetOptions{Ratio: 1, Burst: 1000}),
		Clock:   core.NewProcessClock(), Publisher: noopPublisher{}, Observer: noopObserver{},
		Log: &log.Logger{Handler: r.logs, Level: log.InfoLevel}, Sender: 1, MaxBodyBytes: 1 << 20,
	})
	r.forwarder.Configure(route.NewTable(configuration(1)))
	r.server = httptest.NewUnstartedServer(r.forwarder)
	r.server.Config.MaxHeaderBytes = 16 << 10
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

func registration(tg *platform.Target, phase string) core.Registration {
	r := core.Registration{
		Target: core.Target{ID: core.TargetID(tg.ID()), Service: "calls", Address: tg.Address(), DataCentre: "here"}, Slots: 8,
	}
	switch phase {
	case "prefill":
		r.Service, r.Role = "models", core.RolePrefill
	case "decode":
		r.Service, r.Role = "models", core.RoleDecode
	}
	return r
}

func configuration(version core.Revision) *core.Forwarding {
	stream := func(name string, resumable bool) core.Route {
		return core.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: core.RouteStream, Timeout: routeTimeout,
			Objective: routeObjective, PauseObjective: 50 * time.Millisecond, Attempts: 2, HasPrompt: true, Resumable: resumable,
			Splits: []core.Split{{Service: "models", Weight: 1}},
		}
	}
	call := func(name string, kind core.RouteKind) core.Route {
		return core.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: routeTimeout,
			Objective: routeObjective, Attempts: 2, Splits: []core.Split{{Service: "calls", Weight: 1}},
		}
	}
	return &core.Forwarding{
		Version: version,
		Routes: []core.Route{
			call("once", core.RouteOnce), call("safe", core.RouteRepeatable), stream("resumable", true), stream("single", false),
		},
		Services: map[core.Service]core.ServiceLimits{
			"calls": {Name: "calls"},
			"models": {Name: "models", Engine: &core.EngineLimits{
				Slots: 8, CacheTokens: 100_000, CacheTokenBytes: 1000, LinkBytesPerSecond: 1e12,
			}},
		},
	}
}

// response is a caller's view of the response to one request.
type response struct {
	status int
	header http.Header
	body   string
	// err is set if there was no complete response.
	err error
}

// do sends a request with the given ID. header lists names and values in turn.
func (r *fixture) do(ctx context.Context, method, path, id, body string, header ...string) response {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, r.server.URL+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := r.server.Client().Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data), err}
}

// sendPrompt sends the request r1 with a prompt whose prefix has two parts.
func (r *fixture) sendPrompt(ctx context.Context, path string) response {
	r.t.Helper()
	return r.do(ctx, http.MethodPost, path, "r1", "the prompt", "X-Model", "m", "X-Token-Count", "3000,8",
		"X-Prompt-Prefix", "ab:2500,cd:500")
}

// runs returns the runs of a request on all targets.
func (r *fixture) runs(id string) []platform.Run {
	var runs []platform.Run
	for _, tg := range r.targets {
		for _, run := range tg.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}
