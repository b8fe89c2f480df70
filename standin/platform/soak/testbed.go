package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/standin/platform"
)

// testbed is the fake platform of a soak: a store, targets behind proxies, and the newest
// configuration.
type testbed struct {
	store        *platform.Store
	server       *http.Server
	storeAddress string
	targets      []*platform.Target
	// proxies holds the proxy of each target, by the same index.
	proxies []*proxy

	// phases holds the phases of the targets of one software version. The targets of the next
	// version follow with the same phases.
	phases []string
	// isDirect is set if targets are registered without their proxies, which accept connections while
	// a crashed target refuses them, and read what a target doesn't.
	isDirect bool
	// maxBody is the limit on bodies of requests in bytes.
	maxBody int

	// organisations is nil unless the configuration has organisations.
	organisations *organisations

	mu      sync.Mutex
	version int // of the newest configuration
	// ready holds the changes of the number of ready engines, in order.
	ready []readyChange
}

// maxRecordedBody is the length in bytes of the longest body that targets record, so that the records of a run
// fit into memory.
const maxRecordedBody = 128 << 10

// targetPhases are the phases of the targets by index; empty is a plain target.
var targetPhases = []string{"", "", "", "", "decode", "decode", "decode", "decode", "decode", "prefill"}

func newTestbed(o *Options) (*testbed, error) {
	tb := &testbed{store: platform.NewStore(), phases: o.phases(), isDirect: o.hasCrashes() || o.Cuts || o.Announcements || o.Endings, maxBody: 1 << 20}
	if o.Endings {
		tb.maxBody = maxEndingBody
	}
	tb.organisations = newOrganisations(o)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	tb.storeAddress = listener.Addr().String()
	tb.server = &http.Server{Handler: tb.store.Handler()}
	go tb.run(listener)
	for i := range len(tb.phases) * max(1, o.Versions) {
		t, err := platform.NewTarget(fmt.Sprintf("i-%d", i), tb.phases[i%len(tb.phases)])
		if err != nil {
			return nil, errors.Wrap(err, "start target")
		}
		t.SetMaxRecordedBody(maxRecordedBody)
		p, err := newProxy(t.Address())
		if err != nil {
			return nil, errors.Wrap(err, "start proxy")
		}
		tb.targets, tb.proxies = append(tb.targets, t), append(tb.proxies, p)
		switch {
		case o.Versions < 2:
			tb.register(i, "ready")
		case tb.serviceOf(i) == "models":
			t.SetVersion(tb.versionOf(i))
			// The engines start at all versions in turn.
			if slot := i % len(tb.phases); slot%o.Versions == i/len(tb.phases) {
				tb.setReady(i, true)
			}
		case i < len(tb.phases):
			tb.register(i, "ready")
		}
	}
	return tb, tb.configure()
}

// run serves the store until the testbed is closed.
func (tb *testbed) run(listener net.Listener) { _ = tb.server.Serve(listener) } // ends with ErrServerClosed

func (tb *testbed) close() {
	_ = tb.server.Close() // the store is no longer in use
	for i := range tb.targets {
		tb.targets[i].Close()
		tb.proxies[i].close()
	}
}

// serviceOf returns the service of the target with an index.
func (tb *testbed) serviceOf(i int) string {
	if tb.phases[i%len(tb.phases)] == "" {
		return "calls"
	}
	return "models"
}

// targetsOf returns the targets of a service.
func (tb *testbed) targetsOf(service string) []*platform.Target {
	var list []*platform.Target
	for i, t := range tb.targets {
		if tb.serviceOf(i) == service {
			list = append(list, t)
		}
	}
	return list
}

// register writes the registry entry of a target, with its proxy's address in place of its own.
func (tb *testbed) register(i int, state string) {
	t := tb.targets[i]
	text := string(t.RegistryEntry(tb.serviceOf(i), "a", state))
	if !tb.isDirect {
		text = strings.Replace(text, t.Address(), tb.proxies[i].address(), 1)
	}
	tb.store.Put("servers", t.ID(), []byte(text))
}

// operatorRoute is a route in the encoding of the operators' configuration.
type operatorRoute struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMs int    `json:"timeout_ms"`
	SloMs     int    `json:"slo_ms"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Sticky    bool   `json:"sticky"`
	CanResume bool   `json:"can_resume"`
	GapSloMs  int    `json:"gap_slo_ms"`
	IsPublic  bool   `json:"public,omitempty"`
}

// configure writes the next version of the configuration. Besides the fixed routes, version n
// has the routes /v<n>/ and /v<n-1>/.
func (tb *testbed) configure() error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.version++
	routes := []operatorRoute{
		{"once", host, "/once/", "unsafe", 2000, 200, "calls", 1, false, false, 0, false},
		{"safe", host, "/safe/", "safe", 2000, 200, "calls", 2, false, false, 0, false},
		{"stream", host, "/stream/", "stream", 2500, 300, "models", 2, true, true, 100, false},
		{"single", host, "/single/", "stream", 2500, 300, "models", 1, true, false, 100, false},
		{"long", host, "/long/", "stream", 12000, 300, "models", 2, true, true, 100, false},
		{slowRoute, host, "/" + slowRoute + "/", "unsafe", 12000, 200, "calls", 1, false, false, 0, false},
		{"long-single", host, "/long-single/", "stream", 12000, 300, "models", 1, true, false, 100, false},
	}
	for v := max(1, tb.version-1); v <= tb.version; v++ {
		routes = append(routes, operatorRoute{fmt.Sprintf("v%d", v), host, fmt.Sprintf("/v%d/", v), "safe", 2000, 200, "calls", 2, false, false, 0, false})
	}
	configuration := map[string]any{
		"version": tb.version, "routes": routes, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": tb.maxBody},
		"services": []map[string]any{
			{"name": "calls", "health_path": "/healthz", "max_conns": 100},
			{"name": "models", "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{
				"slots": 8, "kv_tokens": 300000, "kv_bytes": 1000, "link_mbps": 100000, "switch_s": 0.1, "kv_hold_s": 5,
			}},
		},
	}
	keys := tb.organisations.configure(routes, configuration)
	data, err := json.Marshal(configuration)
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	began := time.Now()
	tb.store.Put("op", "config", data)
	tb.organisations.recordState(tb.version, keys, began)
	return nil
}

// goBack replaces the content of the store by an earlier copy.
func (tb *testbed) goBack(c platform.Copy) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	began := time.Now()
	tb.store.GoBack(c)
	return tb.recordStoredVersion(began)
}

// rewriteExternal writes again what the store has lost by going back.
func (tb *testbed) rewriteExternal() error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	began := time.Now()
	tb.store.RewriteExternal()
	return tb.recordStoredVersion(began)
}

// recordStoredVersion records which version the store holds after a call that began at a time. The lock
// must be held.
func (tb *testbed) recordStoredVersion(began time.Time) error {
	if tb.organisations == nil {
		return nil
	}
	value, _ := tb.store.Value("op", "config")
	var stored struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(value, &stored); err != nil {
		return errors.Wrap(err, "read the configuration in the store")
	}
	tb.organisations.recordState(stored.Version, nil, began)
	return nil
}

// newestVersion returns the version of the newest configuration.
func (tb *testbed) newestVersion() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.version
}

// host is the host of all routes.
const host = "soak.example"
