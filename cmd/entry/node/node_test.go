package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/fx"

	"gorseline/core"
	"gorseline/platform"
	standin "gorseline/standin/platform"
)

// site is a stand-in for the platform whose instances listen on loopback addresses.
type site struct {
	t       testing.TB
	store   *standin.Store
	server  *httptest.Server
	targets []*standin.Target
	// cloud is the settings of the platform's API for duties of the instances that start.
	cloud platform.CloudSettings
}

const siteConfiguration = `{"version":%d,"routes":[
	{"name":"once","host":"h.example","prefix":"/once/","kind":"unsafe","timeout_ms":2000,"slo_ms":300,"service":"calls","attempts":1},
	{"name":"repeatable","host":"h.example","prefix":"/repeatable/","kind":"safe","timeout_ms":2000,"slo_ms":300,"service":"calls","attempts":2},
	{"name":"stream","host":"h.example","prefix":"/stream/","kind":"stream","timeout_ms":4000,"slo_ms":300,"service":"models",
	 "attempts":2,"sticky":true,"can_resume":true,"gap_slo_ms":100}],
	"services":[{"name":"calls"},{"name":"models","engine":{"slots":8,"kv_tokens":100000,"kv_bytes":1000,"link_mbps":100000,"switch_s":0.1}}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":1048576}}`

func newSite(t testing.TB) *site {
	t.Helper()
	s := &site{t: t, store: standin.NewStore()}
	s.server = httptest.NewServer(s.store.Handler())
	t.Cleanup(s.server.Close)
	for i, phase := range []string{"", "", "prefill", "decode"} {
		tg, err := standin.NewTarget(fmt.Sprintf("i-%d", i), phase)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tg.Close)
		s.targets = append(s.targets, tg)
		service := "models"
		if phase == "" {
			service = "calls"
		}
		s.store.Put("servers", tg.ID(), tg.RegistryEntry(service, "a", "ready"))
	}
	s.configure(1)
	return s
}

func (s *site) configure(version int) {
	s.store.Put("op", "config", []byte(fmt.Sprintf(siteConfiguration, version)))
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t testing.TB) string {
	t.Helper()
	ports, err := standin.FreePorts(1)
	if err != nil {
		t.Fatal(err)
	}
	return "127.0.0.1:" + strconv.Itoa(ports[0])
}

// output collects the log lines of an instance.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// instance is a running instance with its log.
type instance struct {
	*node
	app    *fx.App
	output *output
}

func (s *site) start(name string, replaced ...fx.Option) *instance {
	s.t.Helper()
	settings := platform.Settings{
		Instance: core.InstanceID(name), DataCentre: "a", CallerAddress: freeAddress(s.t), ReadyAddress: freeAddress(s.t),
		DirectoryAddress: freeAddress(s.t), PeerAddress: freeAddress(s.t), HeartbeatInterval: 200 * time.Millisecond,
		Store: platform.StoreSettings{
			Address: strings.TrimPrefix(s.server.URL, "http://"), ReadsPerSecond: 2000, WritesPerSecond: 400,
		},
		Cloud: s.cloud,
		Bounds: platform.Bounds{
			UsageWindow: time.Second, UsageDelay: 8 * time.Second, UsageTolerance: 0.05,
			StopGrace: 3 * time.Second, RetryRatio: 0.5, RetryBurst: 100, HolderGap: 100 * time.Millisecond, MaxAnswerTTL: time.Second,
			ConfigurationDelay: 2 * time.Second,
		},
	}
	_, port, err := net.SplitHostPort(freeAddress(s.t))
	if err != nil {
		s.t.Fatal(err)
	}
	metricsPort, err := strconv.Atoi(port)
	if err != nil {
		s.t.Fatal(err)
	}
	options := Options{MetricsPort: metricsPort, AnswerTTL: 100 * time.Millisecond, RosterInterval: 10 * time.Millisecond, InitialPrefillShare: 0.5, WriteGrace: 10 * time.Second}
	i := &instance{output: &output{}}
	if i.app, i.node, err = assemble(options, settings, i.output, replaced...); err != nil {
		s.t.Fatal(err)
	}
	if err := i.app.Start(s.t.Context()); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := i.app.Stop(ctx); err != nil {
			s.t.Errorf("stop %s: %v", name, err)
		}
	})
	s.eventually(3*time.Second, name+" is ready", func() bool { return get(s.t, "http://"+settings.ReadyAddress+"/-/readyz").status == 200 })
	return i
}

// eventually fails the test unless condition returns true within the time limit.
func (s *site) eventually(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out after %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// waitForMembers fails the test unless the instances soon know each other.
func (s *site) waitForMembers(list ...*instance) {
	s.t.Helper()
	s.eventually(5*time.Second, "the instances know each other", func() bool {
		return !slices.ContainsFunc(list, func(i *instance) bool { return len(i.digests.Members()) != len(list) })
	})
}

type reply struct {
	status int
	body   string
	close  bool
}

func get(t testing.TB, url string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return do(req)
}

func do(req *http.Request) reply {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}
	}
	return reply{resp.StatusCode, string(body), resp.Close}
}

// call sends a request to an instance.
func (i *instance) call(t testing.TB, path, id string, header ...string) reply {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+i.settings.CallerAddress+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", id)
	for n := 0; n+1 < len(header); n += 2 {
		req.Header.Set(header[n], header[n+1])
	}
	return do(req)
}

// Guards against components that work in isolation but not together, from a caller's query
// of the directory to the answers of plain targets and engines.
func TestEndToEnd(t *testing.T) {
	s := newSite(t)
	one, two := s.start("n1"), s.start("n2")
	var answer struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	s.eventually(3*time.Second, "both instances in the directory", func() bool {
		got := get(t, "http://"+one.settings.DirectoryAddress+"/-/resolve?name=h.example&zone=a")
		return got.status == 200 && json.Unmarshal([]byte(got.body), &answer) == nil && len(answer.Addresses) == 2
	})
	if answer.TTL != 0.1 {
		t.Errorf("ttl %v", answer.TTL)
	}
	for n, i := range []*instance{one, two} {
		id := fmt.Sprintf("r%d", n)
		if got := i.call(t, "/once/x", id); got.status != 200 || got.body != "answer to "+id {
			t.Errorf("call: %+v", got)
		}
		got := i.call(t, "/stream/x", id, "X-Model", "m", "X-Token-Count", "5000,8", "X-Prompt-Prefix", "ab:4000,cd:1000")
		if got.status != 200 || strings.Count(got.body, "id: ") != 4 {
			t.Errorf("stream: %+v", got)
		}
		if !strings.Contains(i.output.String(), "Event=RequestEnded") {
			t.Error("no log line for the end of a request")
		}
	}
	if got := one.call(t, "/none/x", "r9"); got.status != 404 {
		t.Errorf("status %d without a route", got.status)
	}
}

// Guards against an instance that misses a new configuration while the store refuses its
// reads: a peer that has the configuration must pass it on.
func TestConfigurationReachesInstanceWithoutStore(t *testing.T) {
	s := newSite(t)
	one, two := s.start("n1"), s.start("n2")
	s.eventually(3*time.Second, "the instances know each other", func() bool {
		return len(one.digests.Members()) == 2 && len(two.digests.Members()) == 2
	})
	// The store fails for both instances. Only one of them has the new configuration.
	s.store.SetFaults(standin.Faults{Status: 503})
	s.configure(5)
	c := *two.forwarder.Table().Configuration()
	c.Version = 5
	if err := one.updater.ApplyConfiguration(&c); err != nil {
		t.Fatal(err)
	}
	s.eventually(2*time.Second, "configuration from the peer", func() bool { return two.forwarder.Table().Version() == 5 })
}

// Guards against requests that are cut off when their instance shuts down, and against new
// callers that are still sent to it.
func TestDrainingInstanceFinishesRequests(t *testing.T) {
	s := newSite(t)
	one, two := s.start("n1"), s.start("n2")
	s.eventually(3*time.Second, "the instances know each other", func() bool { return len(two.digests.Members()) == 2 })
	for _, tg := range s.targets[:2] {
		tg.SetProcessingTime(700 * time.Millisecond)
	}
	var calls sync.WaitGroup
	start := func(prefix string, count int) {
		for n := range count {
			calls.Go(func() {
				if got := one.call(t, "/once/x", fmt.Sprintf("%s%d", prefix, n)); got.status != 200 {
					t.Errorf("request %s%d: %+v", prefix, n, got)
				}
			})
		}
	}
	// Without these the instance can't tell whether the last request will end in time.
	start("learn", 10)
	calls.Wait()
	start("r", 6)
	time.Sleep(100 * time.Millisecond)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		one.drain()
	}()
	s.eventually(time.Second, "the leaving instance is not ready", func() bool {
		return get(t, "http://"+one.settings.ReadyAddress+"/-/readyz").status == 503
	})
	s.eventually(2*time.Second, "the leaving instance is in no answer", func() bool {
		got := get(t, "http://"+two.settings.DirectoryAddress+"/-/resolve?zone=a")
		return got.status == 200 && !strings.Contains(got.body, one.settings.CallerAddress)
	})
	if got := one.call(t, "/once/x", "late"); got.status != 200 || !got.close {
		t.Errorf("a caller that still has the address: %+v", got)
	}
	calls.Wait()
	<-drained
}

// Guards against a fleet in which no instance orders the roles of engines, or more than one
// does.
func TestOneInstanceOrdersRoles(t *testing.T) {
	s := newSite(t)
	for i := range 4 {
		tg, err := standin.NewTarget(fmt.Sprintf("e-%d", i), "decode")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tg.Close)
		s.targets = append(s.targets, tg)
		s.store.Put("servers", tg.ID(), tg.RegistryEntry("models", "a", "ready"))
	}
	one, two := s.start("n1"), s.start("n2")
	ordered := func() int {
		n := 0
		for _, tg := range s.targets {
			n += len(tg.Orders())
		}
		return n
	}
	s.eventually(10*time.Second, "orders for half of six engines", func() bool { return ordered() == 2 })
	holders := 0
	for _, i := range []*instance{one, two} {
		if strings.Contains(i.output.String(), "Event=OrderSent") {
			holders++
		}
	}
	if holders != 1 {
		t.Errorf("%d instances sent orders, want 1", holders)
	}
}

// Guards against limits that grow when an instance loses sight of another, which may go on with
// its share.
func TestLostMemberKeepsItsShareOfTheLimits(t *testing.T) {
	s := newSite(t)
	list := []*instance{s.start("n1"), s.start("n2"), s.start("n3")}
	s.eventually(5*time.Second, "n1 counts three instances", func() bool { return list[0].budgets.Instances() == 3 })
	if err := list[2].app.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	s.eventually(10*time.Second, "n1 has lost n3", func() bool { return len(list[0].digests.Members()) == 2 })
	time.Sleep(housekeepingInterval + housekeepingInterval/2)
	if got := list[0].budgets.Instances(); got != 3 {
		t.Errorf("limits are divided by %d instances, want 3", got)
	}
}
