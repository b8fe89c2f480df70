// Command part plays a part of prompts that crashes each server that begins to write an answer on it.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"review/lib"
)

const (
	service   = "models"
	prefills  = 5
	decodes   = 4
	instances = 3
	contact   = 3 * time.Second
	eventGap  = 5 * time.Millisecond
	downTime  = 3 * time.Second
	// senders is the number of clients that send sound requests, each soundGap one.
	senders  = 8
	soundGap = 200 * time.Millisecond
	// partGap is the time between two requests with the part.
	partGap  = 1500 * time.Millisecond
	playTime = 45 * time.Second
	deadly   = "dead0001"
)

// written is the number of events that a server writes before it crashes.
var written = number("WRITTEN", 2)

func number(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

type play struct {
	d       *lib.Deployment
	mu      sync.Mutex
	crashes []time.Time
	late    int
	sound   map[string]int
	part    map[string]int
}

func main() {
	if len(os.Args) != 2 {
		os.Exit(2)
	}
	d, err := lib.NewDeployment(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	status := run(d)
	d.Close()
	os.Exit(status)
}

func run(d *lib.Deployment) int {
	d.Configure(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "hints", "host": d.Host, "prefix": "/hints/", "kind": "stream", "timeout_ms": 15000, "slo_ms": 300, "priority": 0,
			"service": service, "attempts": 2, "sticky": true, "can_resume": true, "gap_slo_ms": 200,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_conns": 630, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 128, "kv_tokens": 884000, "kv_bytes": 262144, "link_mbps": 1000000, "moves": true, "backups": true, "stride": 64,
				"most": 12, "kv_hold_s": 5.0, "switch_s": 3.0, "pin_ms": 4000, "hold_ms": 2000, "models": []map[string]any{{"name": "m"}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	p := &play{d: d, sound: map[string]int{}, part: map[string]int{}}
	for i := range prefills + decodes {
		phase := "prefill"
		if i >= prefills {
			phase = "decode"
		}
		s := d.NewServer(lib.ServerOptions{
			ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: service, Address: d.ServerAddress(i + 1), Phase: phase, Slots: 128,
			EventGap: eventGap, Hook: p.arrive,
		})
		if err := s.Start("v1"); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	for i := range instances {
		if _, err := d.StartInstance(i + 1); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	if !d.AwaitReady(10 * time.Second) {
		fmt.Println("the instances are not ready")
		return 2
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(playTime)
	var clients sync.WaitGroup
	for range senders {
		clients.Go(func() {
			for time.Now().Before(end) {
				p.stream("5afe0001", p.sound)
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(soundGap)))
			}
		})
	}
	clients.Go(func() {
		time.Sleep(6 * time.Second)
		for time.Now().Before(end) {
			if lib.Trouble() {
				go p.stream(deadly, p.part)
			}
			time.Sleep(partGap)
		}
	})
	clients.Wait()
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	d.Record.Print("the part crashed servers %d times; requests with it ran at servers %d times later than 3 s after the fifth crash (the rule allows 3)", len(p.crashes), p.late)
	d.Record.Print("ends of sound streams: %v; of streams with the part: %v", p.sound, p.part)
	if p.sound["complete"] == 0 {
		return 2
	}
	if p.late > 3 {
		return 1
	}
	return 0
}

// arrive crashes the server once it has begun to write an answer on the part.
func (p *play) arrive(s *lib.Server, c net.Conn, r *http.Request, _ []byte) (handled, keep bool) {
	if r.Header.Get("X-Phase") == "prefill" || s.CurrentPhase() == "prefill" || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadly) {
		return false, true
	}
	p.mu.Lock()
	if len(p.crashes) >= 5 && time.Since(p.crashes[4]) > contact {
		p.late++
	}
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	s.RecordRun(r)
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n"+s.Echo(r)+"\r\n")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= first+written; n++ {
		time.Sleep(eventGap)
		event := fmt.Sprintf("id: %d\ndata: %s v1\n\n", n, s.ID)
		_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	time.Sleep(eventGap)
	s.Crash()
	time.AfterFunc(downTime, func() {
		if err := s.Start("v1"); err != nil {
			p.d.Record.Print("server %s doesn't start: %v", s.ID, err)
		}
	})
	return true, false
}

// stream asks for a stream whose prompt has a part, and notes its end.
func (p *play) stream(part string, ends map[string]int) {
	var c lib.Client
	defer c.Close()
	id := lib.NewID()
	q := &lib.Request{
		ID: id, Method: "POST", Path: "/hints/2f", Host: p.d.Host, Body: []byte(`{"prompt":"hint ` + id + `"}`), Deadline: 15 * time.Second,
		Lines: fmt.Sprintf("X-Model: m\r\nX-Token-Count: 100,40\r\nX-Prompt-Prefix: aa01:40,%s:40,%s:20\r\n", part, id),
	}
	i := p.d.Instances[rand.IntN(len(p.d.Instances))]
	end := "complete"
	resp, err := c.Send(i.Front, q)
	switch {
	case err != nil:
		end = "no answer"
	case resp.StatusCode != http.StatusOK:
		end = fmt.Sprint(resp.StatusCode)
	default:
		events := bufio.NewReader(resp.Body)
		for err == nil {
			_, err = lib.ReadEvent(events)
		}
		if !errors.Is(err, io.EOF) {
			end = "cut"
		}
	}
	p.d.Record.Line("client: stream %s with part %s at %s: %s, %v", id, part, i.Name, end, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	ends[end]++
}
