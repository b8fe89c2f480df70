package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"gorseline/core"
	"gorseline/core/assign"
	"gorseline/core/common/random"
	"gorseline/core/intake"
	"gorseline/core/load"
	"gorseline/core/quarantine"
	"gorseline/core/reach"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/core/route"
	"gorseline/core/targetlimit"
	"gorseline/io/forward"
	"gorseline/io/target"
	client "gorseline/platform"
	"gorseline/standin/platform"
)

// Times of the fixture's routes. They allow for a busy machine.
const (
	routeTimeout   = 3 * time.Second
	routeObjective = 400 * time.Millisecond
	pauseObjective = 50 * time.Millisecond
)

// fixture is a forwarder in front of fake targets.
type fixture struct {
	t         *testing.T
	forwarder *forward.Forwarder
	roster    *roster.Roster
	server    *httptest.Server
	targets   []*platform.Target
	logs      *memory.Handler
	budgets   *retry.Shares
	streams   *streamRecord
	observer  *continuationObserver
	// quarantine is that of a fleet with one instance.
	quarantine *localQuarantine
	limits     *targetlimit.Limits
	paths      *reach.Paths
	peers      *peerList
	// detours takes the requests of other instances.
	detours *httptest.Server
	// currency is not current unless a test sets it.
	currency currency
	usage    usageRecord
}

// usageRecord counts the requests that targets have begun.
type usageRecord struct {
	mu     sync.Mutex
	counts map[core.Organisation]int
	oldest time.Duration
}

// RecordBegun counts a request.
func (u *usageRecord) RecordBegun(o core.Organisation, ago time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = map[core.Organisation]int{}
	}
	u.counts[o]++
	u.oldest = max(u.oldest, ago)
}

// count returns the number of requests of an organisation.
func (u *usageRecord) count(o core.Organisation) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counts[o]
}

// currency is the currency of a configuration.
type currency struct {
	isCurrent atomic.Bool
	// onCheck is called before each check unless it is nil.
	onCheck func()
}

// IsCurrent reports whether the configuration is current.
func (c *currency) IsCurrent() bool {
	if c.onCheck != nil {
		c.onCheck()
	}
	return c.isCurrent.Load()
}

// leavingRecorder records leaving targets of a fleet with one instance.
type leavingRecorder struct{ *roster.Roster }

// RecordLeaving marks a target as leaving.
func (l leavingRecorder) RecordLeaving(id core.TargetID, started int64) { l.MarkLeaving(id, started) }

// closeServer waits for the requests of callers and for the releases that go on after them, both of which may still
// write log lines.
func (f *fixture) closeServer() {
	f.server.Close()
	f.forwarder.WaitForReleases(context.Background())
}

// peerList holds the other instances of a fixture.
type peerList struct {
	mu       sync.Mutex
	list     []core.DetourPeer
	isClosed bool
}

// DetourPeers returns the instances.
func (p *peerList) DetourPeers(core.Service) []core.DetourPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

// IsPeer accepts all addresses unless the list is closed.
func (p *peerList) IsPeer(netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isClosed
}

// AnnouncePaths does nothing.
func (p *peerList) AnnouncePaths() {}

// set sets the instances to which requests may be sent.
func (p *peerList) set(fixtures ...*fixture) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = nil
	for _, f := range fixtures {
		p.list = append(p.list, core.DetourPeer{Address: strings.TrimPrefix(f.detours.URL, "http://"), DataCentre: "here"})
	}
}

// localQuarantine is the quarantine of a fleet with one instance.
type localQuarantine struct {
	suspects *quarantine.Suspects
	findings *quarantine.Findings
	clock    core.ClockProvider

	mu sync.Mutex
	// survived holds the traits of the latest request that a target survived.
	survived []core.Trait
	// losses counts the runs that count as lost with their target.
	losses int
}

func newLocalQuarantine(clock core.ClockProvider) *localQuarantine {
	return &localQuarantine{suspects: quarantine.NewSuspects(), findings: quarantine.NewFindings(), clock: clock}
}

// Quarantined returns the index of the first quarantined trait.
func (q *localQuarantine) Quarantined(traits []core.Trait) (int, bool) {
	return q.findings.First(traits)
}

// TakeProbe reports whether a probe is allowed.
func (q *localQuarantine) TakeProbe(traits []core.Trait) bool {
	return q.findings.TakeProbe(q.clock.Now(), traits)
}

// IsSuspect reports whether a trait is suspect.
func (q *localQuarantine) IsSuspect(traits []core.Trait) bool {
	return q.suspects.IsSuspect(q.clock.Now(), traits)
}

// RecordAlive adds to the evidence. It takes no loss back.
func (q *localQuarantine) RecordAlive(target *core.Registration, sent core.Instant) {
	q.suspects.RecordAnswer(target, sent)
}

// RecordLost decides with the evidence of the one instance.
func (q *localQuarantine) RecordLost(lost *core.TargetRun) {
	q.mu.Lock()
	q.losses++
	q.mu.Unlock()
	now := q.clock.Now()
	loss := q.suspects.NewLoss(now, lost)
	for _, l := range append([]quarantine.Loss{loss}, q.suspects.LossesAfterEnd(now)...) {
		trait, ok := q.suspects.Add(now, l)
		if !ok {
			continue
		}
		if verdict := q.suspects.Decide(now, trait, 0); verdict.IsFound {
			q.findings.Merge(quarantine.Finding{Trait: trait, Kind: verdict.Kind, Revision: 1})
		}
	}
}

// RecordSurvived adds to the evidence.
func (q *localQuarantine) RecordSurvived(run *core.TargetRun) {
	q.suspects.RecordSurvived(q.clock.Now(), run)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.survived = run.Traits
}

// RecordStopped adds to the evidence.
func (q *localQuarantine) RecordStopped(run *core.TargetRun) {
	q.suspects.RecordStopped(q.clock.Now(), run)
}

type noopPublisher struct{}

func (noopPublisher) Sent(load.Item)    {}
func (noopPublisher) Computed(load.Ref) {}
func (noopPublisher) Finished(load.Ref) {}

func (noopPublisher) PublishLimit(targetlimit.Fact) {}

type noopObserver struct{}

func (noopObserver) ObserveRequest(core.RouteKind, core.OutcomeKind, core.Reason, time.Duration, time.Duration) {
}

func (noopObserver) ObserveSend(core.Service, string) {}

func (noopObserver) ObserveOrganisation(core.Organisation, core.OutcomeKind) {}

func (noopObserver) ObserveDetour(core.Service, forward.DetourResult) {}

func (noopObserver) ObserveSilence(core.Service, forward.SilenceStep) {}

func (noopObserver) ObserveRetry(core.Service, forward.RetryCause, int, bool, retry.ShareState) {}

// continuationObserver counts continuations by their result.
type continuationObserver struct {
	noopObserver

	mu     sync.Mutex
	counts map[forward.ContinuationResult]int
}

// ObserveContinuation counts a continuation.
func (o *continuationObserver) ObserveContinuation(_ core.Service, result forward.ContinuationResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[result]++
}

// newFixture starts a forwarder with one target for each of the given phases; an empty phase
// is a plain target.
func newFixture(t *testing.T, phases ...string) *fixture {
	t.Helper()
	var targets []*platform.Target
	var list []core.Registration
	for i, phase := range phases {
		tg, err := platform.NewTarget("i-"+string(rune('a'+i)), phase)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tg.Close)
		targets = append(targets, tg)
		list = append(list, registration(tg, phase))
	}
	f := startFixture(t, targets, &streamRecord{versions: map[streamKey]core.SoftwareVersion{}})
	f.roster.Replace(0, 1, list)
	return f
}

// startFixture starts a forwarder with an empty roster.
func startFixture(t *testing.T, targets []*platform.Target, streams *streamRecord) *fixture {
	t.Helper()
	f := &fixture{
		t: t, roster: roster.New(time.Second), logs: memory.New(),
		budgets: retry.NewShares(1, 1000), targets: targets, streams: streams, paths: reach.NewPaths(), peers: &peerList{},
		observer: &continuationObserver{counts: map[forward.ContinuationResult]int{}},
	}
	f.budgets.SetInstances(1)
	for range 100 { // retries enough for any test
		f.budgets.Deposit("calls")
		f.budgets.Deposit("models")
	}
	source := random.New(7)
	clock := core.NewProcessClock()
	f.quarantine, f.limits = newLocalQuarantine(clock), targetlimit.New("n")
	tracker, pauses := load.NewTracker(), retry.NewPauses()
	health := retry.NewHealth(retry.DefaultHealthOptions(), source)
	f.forwarder = forward.New(forward.Options{
		Dialect: client.Dialect{}, Pool: target.NewPool(target.PoolOptions{}),
		Assigner: assign.New(assign.Options{
			Loads: tracker, Health: health, Random: source, Home: "here", Limits: f.limits, Pauses: pauses, Tuning: assign.DefaultTuning(),
		}),
		Loads: tracker, Roster: f.roster, Health: health,
		Budgets: f.budgets,
		Clock:   clock, Publisher: noopPublisher{}, Observer: f.observer,
		StreamStarts: streams, StreamVersions: streams, Quarantine: f.quarantine,
		Limits: f.limits, LimitPublisher: noopPublisher{},
		Leavings: leavingRecorder{f.roster}, Pauses: pauses, Currency: &f.currency, Usage: &f.usage,
		Paths: f.paths, Peers: f.peers, Detours: reach.NewDetours("here", source), Instance: "n",
		Log: &log.Logger{Handler: f.logs, Level: log.InfoLevel}, Sender: 1, MaxBodyBytes: 1 << 20,
		Intake: intake.NewBudget(64<<20, clock), WriteGrace: time.Second,
	})
	f.forwarder.Configure(route.NewTable(configuration(1)))
	f.server = httptest.NewUnstartedServer(f.forwarder)
	f.server.Config.MaxHeaderBytes, f.server.Config.ConnContext = 16<<10, forward.ConnContext
	f.server.Start()
	t.Cleanup(f.server.Close)
	f.detours = httptest.NewUnstartedServer(f.forwarder.DetourHandler(http.NotFoundHandler()))
	f.detours.Config.ConnContext = forward.ConnContext
	f.detours.Start()
	t.Cleanup(f.detours.Close)
	return f
}

// close stops the forwarder and the targets.
func (f *fixture) close() {
	f.server.Close()
	for _, tg := range f.targets {
		tg.Close()
	}
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
			Objective: routeObjective, PauseObjective: pauseObjective, Attempts: 2, HasPrompt: true, Resumable: resumable,
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
func (f *fixture) do(ctx context.Context, method, path, id, body string, header ...string) response {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := f.server.Client().Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data), err}
}

// sendPrompt sends the request r1 with a prompt whose prefix has two parts.
func (f *fixture) sendPrompt(ctx context.Context, path string) response {
	f.t.Helper()
	return f.do(ctx, http.MethodPost, path, "r1", "the prompt", "X-Model", "m", "X-Token-Count", "3000,100",
		"X-Prompt-Prefix", "ab:2500,cd:500")
}

// runs returns the runs of a request on all targets.
func (f *fixture) runs(id string) []platform.Run {
	var runs []platform.Run
	for _, tg := range f.targets {
		for _, run := range tg.Runs() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}
