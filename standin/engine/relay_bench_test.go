package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/stream"
	client "gorseline/io/engine"
	"gorseline/io/sse"
	"gorseline/io/target"
	"gorseline/standin/engine"
	"gorseline/standin/network"
)

// bench is an engine and an instance that relays its streams, in real time.
type bench struct {
	engine         *engine.Engine
	signer         *stream.TokenSigner
	relay          *stream.Relay
	directAddress  string          // of the engine
	relayedAddress string          // of the instance
	transport      *http.Transport // of the callers
	listen         func(name string) net.Listener
	dial           target.DialFunc
	cleanups       []func()
}

// newBench starts an engine and an instance on loopback TCP, or on an in-memory
// network.
func newBench(b *testing.B, options engine.Options, memory bool) *bench {
	s := &bench{listen: func(string) net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		return l
	}}
	if memory {
		n := network.New()
		s.listen, s.dial = n.Listen, n.Dial
	}
	ctx, stop := context.WithCancel(b.Context())
	s.engine = engine.New(options)
	go s.engine.Run(ctx)
	s.directAddress = s.serve(s.engine, "engine:80")
	signer, err := stream.NewTokenSigner(relayKey)
	if err != nil {
		b.Fatal(err)
	}
	s.signer = signer
	engines := client.NewClient(client.Options{Connections: target.TransportOptions{Dial: s.dial}, Name: "bench"})
	go engines.Run(ctx)
	s.relay = stream.NewRelay(stream.Options{Completer: engines, Clock: core.NewProcessClock(), Signer: signer})
	s.relayedAddress = s.serve(http.HandlerFunc(s.handle), "instance:80")
	s.transport = &http.Transport{DialContext: s.dial, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10, MaxIdleConnsPerHost: 16}
	b.Cleanup(func() {
		stop()
		<-s.engine.Done()
		<-engines.Done()
		engines.Close()
		s.transport.CloseIdleConnections()
		for _, cleanup := range s.cleanups {
			cleanup()
		}
	})
	return s
}

func (s *bench) serve(handler http.Handler, name string) string {
	l := s.listen(name)
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	s.cleanups = append(s.cleanups, func() { server.Close() })
	return l.Addr().String()
}

func (s *bench) handle(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prompt string `json:"prompt"`
		Tokens int    `json:"max_tokens"`
	}
	json.NewDecoder(r.Body).Decode(&body)
	s.relay.Serve(r.Context(), stream.Call{
		Request:    &core.Request{Organisation: "club", Kind: core.Kind{Repeatable: true}},
		Completion: core.CompletionRequest{Attempt: "a", Model: "ledger-7b", Prompt: body.Prompt, MaxTokens: body.Tokens},
		ChooseTarget: func([]core.TargetID) (stream.Candidate, bool) {
			return stream.Candidate{Target: "engine", Address: s.directAddress}, true
		},
	}, sse.NewWriter(w, sse.Format{ID: "r", Model: "ledger-7b"}))
}

// ask starts a completion and returns the body of its response, or nil after an error.
func (s *bench) ask(b *testing.B, ctx context.Context, address, prompt string, tokens int) io.ReadCloser {
	body, _ := json.Marshal(map[string]any{"model": "ledger-7b", "prompt": prompt, "max_tokens": tokens, "stream": true})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return nil
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		b.Error(err)
		return nil
	}
	return resp.Body
}

// read reads an answer up to "[DONE]" and returns the arrival time of its first event.
func read(body io.ReadCloser) (first time.Time) {
	defer body.Close()
	buffer, seen := make([]byte, 4<<10), false
	for {
		n, err := body.Read(buffer)
		if !seen && bytes.Contains(buffer[:n], []byte("data: ")) {
			seen, first = true, time.Now()
		}
		if bytes.Contains(buffer[:n], []byte("[DONE]")) || err != nil {
			return first
		}
	}
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTokens reports the processor time of the relay per token: that of a run
// through the relay minus that of a run directly against the engine, which covers the
// engine and the caller. The paced engine sends tokens one by one, at a rate far below
// the capacity of a core. The others send bursts in events of one or eight tokens.
func BenchmarkTokens(b *testing.B) {
	const streams, tokens = 200, 400
	for _, run := range []struct {
		name    string
		options engine.Options
	}{
		{"paced", engine.Options{StepBase: 4 * time.Millisecond}},
		{"burst-1", engine.Options{StepBase: 1, TokensPerStep: 8}},
		{"burst-8", engine.Options{StepBase: 1, TokensPerStep: 8, TokensPerPiece: 8}},
	} {
		b.Run(run.name, func(b *testing.B) {
			run.options.BatchSize, run.options.StepPerSequence = streams, 1
			s := newBench(b, run.options, false)
			var cost [2]time.Duration
			for b.Loop() {
				for i, address := range []string{s.directAddress, s.relayedAddress} {
					before := processorTime()
					var wait sync.WaitGroup
					for n := range streams {
						wait.Go(func() {
							read(s.ask(b, b.Context(), address, fmt.Sprintf("p %d", n), tokens))
						})
					}
					wait.Wait()
					cost[i] += processorTime() - before
				}
			}
			total := float64(b.N * streams * tokens)
			direct, relayed := float64(cost[0])/total, float64(cost[1])/total
			b.ReportMetric(direct, "direct-ns/token")
			b.ReportMetric(relayed, "through-ns/token")
			b.ReportMetric(1e9/(relayed-direct), "relay-tokens/s/core")
		})
	}
}

// BenchmarkLatency reports the latency that the relay adds to the first token and to
// later tokens, as medians and 99th percentiles. For later tokens the caller reads the
// same stream of the engine directly and through the relay.
func BenchmarkLatency(b *testing.B) {
	s := newBench(b, engine.Options{StepBase: 2 * time.Millisecond}, false)
	var first [2][]time.Duration
	var later []time.Duration
	i := 0
	for b.Loop() {
		i++
		for j, address := range []string{s.directAddress, s.relayedAddress} {
			started := time.Now()
			at := read(s.ask(b, b.Context(), address, fmt.Sprintf("f %d", i), 1))
			first[j] = append(first[j], at.Sub(started))
		}
		later = append(later, s.relayDelays(b, fmt.Sprintf("t %d", i), 100)...)
	}
	percentile := func(d []time.Duration, p int) float64 {
		slices.Sort(d)
		return float64(d[len(d)*p/100]) / float64(time.Microsecond)
	}
	b.ReportMetric(percentile(first[0], 50), "direct-first-µs-p50")
	b.ReportMetric(percentile(first[1], 50)-percentile(first[0], 50), "added-first-µs-p50")
	b.ReportMetric(percentile(first[1], 99)-percentile(first[0], 99), "added-first-µs-p99")
	b.ReportMetric(percentile(later, 50), "added-token-µs-p50")
	b.ReportMetric(percentile(later, 99), "added-token-µs-p99")
}

// relayDelays reads a stream both through the relay and directly, and returns for each
// token how much later it arrives through the relay.
func (s *bench) relayDelays(b *testing.B, prompt string, tokens int) []time.Duration {
	arrivals := func(d *sse.Decoder, at []time.Time, onFirst func(id string)) {
		var event sse.Event
		for n := 0; n < tokens && d.Next(&event) == nil; {
			if event.Comment {
				continue
			}
			chunk, err := sse.ParseChunk(&event)
			now := time.Now()
			for range bytes.Count([]byte(chunk.Text), []byte(" ")) {
				at[n] = now
				n++
			}
			if err == nil && onFirst != nil {
				onFirst(string(event.ID))
				onFirst = nil
			}
		}
	}
	relayed, direct := make([]time.Time, tokens+1), make([]time.Time, tokens+1)
	var wait sync.WaitGroup
	body := s.ask(b, b.Context(), s.relayedAddress, prompt, tokens)
	defer body.Close()
	arrivals(sse.NewDecoder(body, 1<<16), relayed, func(id string) {
		position, err := s.signer.Verify(id, "club")
		if err != nil {
			b.Error(err)
			return
		}
		wait.Go(func() {
			resp, err := http.Get("http://" + s.directAddress + "/v1/streams/" + position.Stream + "?offset=0")
			if err != nil {
				b.Error(err)
				return
			}
			defer resp.Body.Close()
			arrivals(sse.NewDecoder(resp.Body, 1<<16), direct, nil)
		})
	})
	wait.Wait()
	var delays []time.Duration
	for n := tokens / 5; n < tokens; n++ { // the direct reader starts late
		delays = append(delays, relayed[n].Sub(direct[n]))
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	return delays
}

// BenchmarkMemory reports the memory of an open stream in an instance: heap and stacks
// of a run through the relay minus those of a run directly against the engine. Runs on
// the in-memory network use no file descriptors and so can open 10,000 streams. Runs on
// TCP use four descriptors per stream.
func BenchmarkMemory(b *testing.B) {
	for _, run := range []struct {
		name    string
		memory  bool
		streams int
	}{{"memory", true, 10_000}, {"tcp", false, 4000}} {
		b.Run(run.name, func(b *testing.B) {
			for b.Loop() {
				var heap, stack [2]float64
				for i := range heap {
					heap[i], stack[i] = openStreams(b, run.memory, run.streams, i == 1)
				}
				b.ReportMetric(heap[0]+stack[0], "direct-B/stream")
				b.ReportMetric(heap[1]-heap[0], "relay-heap-B/stream")
				b.ReportMetric(stack[1]-stack[0], "relay-stack-B/stream")
				b.ReportMetric(heap[1]+stack[1]-heap[0]-stack[0], "relay-B/stream")
			}
		})
	}
}

// openStreams opens streams, waits until each has delivered data, and returns the heap
// and stack bytes per stream.
func openStreams(b *testing.B, memory bool, streams int, relayed bool) (heap, stack float64) {
	s := newBench(b, engine.Options{
		BatchSize: streams, QueueSize: streams, KVCapacity: 1 << 40, PrefillRate: 1e9, PrefillChunk: 1 << 20,
		StepBase: time.Second, StepPerSequence: 1,
	}, memory)
	address := s.directAddress
	if relayed {
		address = s.relayedAddress
	}
	heapBefore, stackBefore := memoryUsed()
	ctx, cancel := context.WithCancel(b.Context())
	bodies := make([]io.ReadCloser, streams)
	slots := make(chan struct{}, 1000) // bounds concurrent requests
	var wait sync.WaitGroup
	for n := range streams {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			bodies[n] = s.ask(b, ctx, address, "p", 1<<20)
		})
	}
	wait.Wait()
	for _, body := range bodies {
		if body != nil {
			io.ReadFull(body, make([]byte, 8))
		}
	}
	if relayed && s.relay.Active() != streams {
		b.Errorf("%d streams are open, want %d", s.relay.Active(), streams)
	}
	heap, stack = memoryUsed()
	for _, body := range bodies {
		if body != nil {
			body.Close()
		}
	}
	cancel()
	return (heap - heapBefore) / float64(streams), (stack - stackBefore) / float64(streams)
}

// memoryUsed returns the heap and stack bytes in use. It collects garbage several
// times, because each collection shrinks a stack to half at most.
func memoryUsed() (heap, stack float64) {
	for range 5 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse), float64(m.StackInuse)
}
