package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"gorseline/core/common/pause"
)

// result is what a caller got for one request.
type result struct {
	id     string
	route  string
	entry  string
	began  time.Time
	ended  time.Time
	status int
	stamp  string
	retry  string
	body   string
	// err is set if there was no whole answer.
	err error
}

// callers send requests to all instances and note what they get.
type callers struct {
	entries []*entry
	client  *http.Client

	mu      sync.Mutex
	results []result
}

func newCallers(entries []*entry) *callers {
	return &callers{entries: entries, client: &http.Client{
		// Callers keep connections open for many requests, until the process is gone.
		Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true, ResponseHeaderTimeout: 6 * time.Second},
		Timeout:   8 * time.Second,
	}}
}

// routes that callers use, with the share of each in the load.
var routes = []string{"once", "once", "safe", "stream", "single"}

// run sends requests from one caller until ctx ends.
func (c *callers) run(ctx context.Context, number int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	for i := 0; ctx.Err() == nil; i++ {
		e := c.entries[rng.IntN(len(c.entries))]
		route := routes[rng.IntN(len(routes))]
		id := fmt.Sprintf("%s-%d-%d-%d", route, seed, number, i)
		r := c.send(context.WithoutCancel(ctx), e, route, id, rng.IntN(20_000))
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		pause.For(ctx, time.Duration(5+rng.IntN(40))*time.Millisecond)
	}
}

// send sends one request.
func (c *callers) send(ctx context.Context, e *entry, route, id string, size int) (r result) {
	r = result{id: id, route: route, entry: e.name, began: time.Now()}
	defer func() { r.ended = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/"+route+"/x", strings.NewReader(strings.Repeat("b", size)))
	if err != nil {
		r.err = err
		return r
	}
	// The transport must not repeat a request on its own.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2500")
	if route == "stream" || route == "single" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", "4000,8")
		req.Header.Set("X-Prompt-Prefix", "ab:3000,"+fmt.Sprintf("%x", len(id))+":1000")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(body), err
	r.stamp, r.retry = resp.Header.Get("X-Upstream-Stamp"), resp.Header.Get("Retry-After")
	return r
}

func (c *callers) all() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}
