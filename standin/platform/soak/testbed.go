package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"gorseline/standin/platform"
)

// testbed is the fake platform of a soak: a store, targets behind proxies, and the newest
// configuration.
type testbed struct {
	store  *platform.Store
	server *http.Server
	// address is the store's address.
	address string
	targets []*platform.Target
	proxies []*proxy

	mu sync.Mutex
	// version is that of the newest configuration.
	version int
}

// targetPhases are the phases of the targets by index; empty is a plain target.
var targetPhases = []string{"", "", "", "", "decode", "decode", "decode", "decode", "decode", "prefill"}

func newTestbed() (*testbed, error) {
	s := &testbed{store: platform.NewStore()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: s.store.Handler()}
	go s.run(listener)
	for i, phase := range targetPhases {
		t, err := platform.NewTarget(fmt.Sprintf("i-%d", i), phase)
		if err != nil {
			return nil, errors.Wrap(err, "start target")
		}
		p, err := newProxy(t.Address())
		if err != nil {
			return nil, errors.Wrap(err, "start proxy")
		}
		s.targets, s.proxies = append(s.targets, t), append(s.proxies, p)
		s.register(i, "ready")
	}
	return s, s.configure()
}

// run serves the store until the testbed is closed.
func (s *testbed) run(listener net.Listener) { _ = s.server.Serve(listener) } // ends with ErrServerClosed

func (s *testbed) close() {
	_ = s.server.Close() // the store is no longer in use
	for i := range s.targets {
		s.targets[i].Close()
		s.proxies[i].close()
	}
}

// register writes the registry entry of a target, with its proxy's address in place of its own.
func (s *testbed) register(i int, state string) {
	t := s.targets[i]
	service := "models"
	if targetPhases[i] == "" {
		service = "calls"
	}
	text := strings.Replace(string(t.RegistryEntry(service, "a", state)), t.Address(), s.proxies[i].address(), 1)
	s.store.Put("servers", t.ID(), []byte(text))
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
}

// configure writes the next version of the configuration. Besides the fixed routes, version n
// has the routes /v<n>/ and /v<n-1>/.
func (s *testbed) configure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	routes := []operatorRoute{
		{"once", host, "/once/", "unsafe", 2000, 200, "calls", 1, false, false, 0},
		{"safe", host, "/safe/", "safe", 2000, 200, "calls", 2, false, false, 0},
		{"stream", host, "/stream/", "stream", 2500, 300, "models", 2, true, true, 100},
		{"single", host, "/single/", "stream", 2500, 300, "models", 1, true, false, 100},
	}
	for v := max(1, s.version-1); v <= s.version; v++ {
		routes = append(routes, operatorRoute{fmt.Sprintf("v%d", v), host, fmt.Sprintf("/v%d/", v), "safe", 2000, 200, "calls", 2, false, false, 0})
	}
	data, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20},
		"services": []map[string]any{
			{"name": "calls", "health_path": "/healthz", "max_conns": 100},
			{"name": "models", "health_path": "/healthz", "max_conns": 100, "engine": map[string]any{
				"slots": 8, "kv_tokens": 300000, "kv_bytes": 1000, "link_mbps": 100000, "switch_s": 0.1, "kv_hold_s": 5,
			}},
		},
	})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	s.store.Put("op", "config", data)
	return nil
}

// newestVersion returns the version of the newest configuration.
func (s *testbed) newestVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// host is the host of all routes.
const host = "soak.example"
