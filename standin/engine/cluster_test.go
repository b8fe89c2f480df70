package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/stream"
	client "gorseline/io/engine"
	"gorseline/io/sse"
	"gorseline/io/target"
	"gorseline/standin/engine"
	"gorseline/standin/network"
)

var relayKey = []byte("0123456789abcdef0123456789abcdef")

// cluster is a set of engines and of instances that relay their streams, in virtual
// time.
type cluster struct {
	network   *network.Network
	engines   []*engine.Engine
	instances []*instance
	transport *http.Transport // of the callers
	stops     []func()
}

// instance is a minimal gorseline instance: an HTTP handler around a relay.
type instance struct {
	address    string
	repeatable bool
	deadline   time.Duration
	clock      core.ClockProvider
	relay      *stream.Relay
	signer     *stream.TokenSigner
	results    chan stream.Result
	// chooseTarget selects the next target of a call; ok is false if none is left.
	chooseTarget func(exclude []core.TargetID) (candidate stream.Candidate, ok bool)
}

// firstOf returns a function that selects the first of n engines that is not excluded.
func firstOf(n int) func([]core.TargetID) (stream.Candidate, bool) {
	return func(exclude []core.TargetID) (stream.Candidate, bool) {
		for i := range n {
			id := core.TargetID(fmt.Sprintf("e%d", i))
			if !slices.Contains(exclude, id) {
				return stream.Candidate{Target: id, Address: engineAddress(i)}, true
			}
		}
		return stream.Candidate{}, false
	}
}

func engineAddress(i int) string { return fmt.Sprintf("10.1.0.%d:8000", i+1) }

// runCluster runs body against a cluster in virtual time, and stops the cluster.
func runCluster(t *testing.T, engines, instances int, body func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c := &cluster{network: network.New()}
		for i := range engines {
			e := engine.New(engine.Options{ID: core.TargetID(fmt.Sprintf("e%d", i)), Dial: c.network.Dial})
			server := &http.Server{Handler: e}
			go server.Serve(c.network.Listen(engineAddress(i)))
			go e.Run(ctx)
			c.engines = append(c.engines, e)
			c.stops = append(c.stops, func() { server.Close(); <-e.Done() })
		}
		for i := range instances {
			c.addInstance(t, ctx, fmt.Sprintf("10.2.0.%d:80", i+1))
		}
		c.transport = &http.Transport{DialContext: c.network.Dial, DisableKeepAlives: true}
		body(t, c)
		stop()
		for _, s := range c.stops {
			s()
		}
	})
}

func (c *cluster) addInstance(t *testing.T, ctx context.Context, address string) {
	in, engines := c.newInstance(t, address)
	in.chooseTarget = firstOf(len(c.engines))
	c.instances = append(c.instances, in)
	c.stops = append(c.stops, c.start(ctx, in, engines, address))
}

func (c *cluster) newInstance(t *testing.T, address string) (*instance, *client.Client) {
	signer, err := stream.NewTokenSigner(relayKey)
	if err != nil {
		t.Fatal(err)
	}
	engines := client.NewClient(client.Options{Connections: target.TransportOptions{Dial: c.network.Dial}, Name: address})
	in := &instance{
		address: address, repeatable: true, deadline: time.Minute, clock: core.NewProcessClock(),
		signer: signer, results: make(chan stream.Result, 100),
	}
	in.relay = stream.NewRelay(stream.Options{Completer: engines, Clock: in.clock, Signer: signer})
	return in, engines
}

// start serves an instance and returns a function that stops it.
func (c *cluster) start(ctx context.Context, handler http.Handler, engines *client.Client, address string) func() {
	ctx, stop := context.WithCancel(ctx)
	server := &http.Server{Handler: handler}
	go server.Serve(c.network.Listen(address))
	go engines.Run(ctx)
	return func() {
		// Shutdown waits for the last bytes of responses, which the server writes after
		// their handlers have returned.
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		defer cancel()
		server.Shutdown(shutdownCtx)
		server.Close()
		stop()
		<-engines.Done()
		engines.Close()
	}
}

func (in *instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if result, ok := in.serve(w, r, func(*stream.Call) {}); ok {
		in.results <- result
	}
}

// serve relays a request. adapt may modify the call before it is relayed. ok is false
// if the resume token was refused.
func (in *instance) serve(w http.ResponseWriter, r *http.Request, adapt func(*stream.Call)) (result stream.Result, ok bool) {
	var body struct {
		Prompt string `json:"prompt"`
		Tokens int    `json:"max_tokens"`
	}
	json.NewDecoder(r.Body).Decode(&body)
	now := in.clock.Now()
	call := stream.Call{
		Request: &core.Request{
			Organisation: core.Organisation(r.Header.Get("X-Organisation")),
			Kind:         core.Kind{Repeatable: in.repeatable}, Deadline: now.Add(in.deadline),
		},
		Completion: core.CompletionRequest{
			Request: "r", Attempt: core.AttemptID(in.address), Model: "ledger-7b", Prompt: body.Prompt, MaxTokens: body.Tokens,
		},
		ChooseTarget: in.chooseTarget,
	}
	sink := sse.NewWriter(w, sse.Format{ID: "r", Model: "ledger-7b"})
	if token := r.Header.Get("Last-Event-ID"); token != "" {
		position, err := in.signer.Verify(token, call.Request.Organisation)
		if err != nil {
			var refusal *core.Refusal
			errors.As(err, &refusal)
			sink.Fail(refusal, nil)
			return result, false
		}
		call.Resume = &position
	}
	adapt(&call)
	return in.relay.Serve(r.Context(), call, sink), true
}

// answer is the part of an answer that a caller has received.
type answer struct {
	text    string
	tokens  int    // as reported by the terminal event
	id      string // of the last event, the token to resume with
	done    bool   // the end marker was received
	refusal *core.Refusal
}

// ask requests an answer from an instance, or resumes it if a holds a part of it, and
// reads it to its end. onText runs after each event with text; it may be nil.
func (c *cluster) ask(ctx context.Context, address, organisation, prompt string, tokens int, a *answer, onText func()) error {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	req.Header.Set("X-Organisation", organisation)
	if a.id != "" {
		req.Header.Set("Last-Event-ID", a.id)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		a.refusal = &core.Refusal{}
		return json.NewDecoder(resp.Body).Decode(a.refusal)
	}
	events := sse.NewDecoder(resp.Body, 1<<16)
	var event sse.Event
	for {
		if err := events.Next(&event); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if event.Comment {
			continue
		}
		if len(event.ID) > 0 {
			a.id = string(event.ID)
		}
		chunk, err := sse.ParseChunk(&event)
		if err != nil {
			return err
		}
		a.text += chunk.Text
		a.done = a.done || chunk.Done
		if chunk.Finished {
			a.tokens = chunk.Tokens
		}
		a.refusal = chunk.Refusal
		if chunk.Text != "" && onText != nil {
			onText()
		}
	}
}

// check fails the test unless a is the complete answer.
func (a *answer) check(t *testing.T, prompt string, tokens int) {
	t.Helper()
	want, n := engine.Answer("ledger-7b", prompt, tokens)
	if a.text != want || a.tokens != n || !a.done || a.refusal != nil {
		t.Errorf("got %d of %d bytes, %d of %d tokens, done %v, refusal %v; same text %v",
			len(a.text), len(want), a.tokens, n, a.done, a.refusal, a.text == want)
	}
}
