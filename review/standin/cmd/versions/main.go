// Command versions plays an update in place: the model servers of a service end one after the other, and each
// starts again under the ID that it had, at the next software version. STORE=silent makes the store silent
// meanwhile.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"review/lib"
)

const (
	service   = "models"
	prefills  = 16
	decodes   = 9
	instances = 9
	streams   = 60
	tokens    = 100
	eventGap  = 30 * time.Millisecond
	// downTime is how long a server is down, updateGap the time from the store's answer to the entry of a server
	// that has started again to the end of the next one.
	downTime  = time.Second
	updateGap = 100 * time.Millisecond
	silence   = 8 * time.Second
	path      = "/hints/2f"
)

// result is what one client got of one stream, over its attempts.
type result struct {
	first    string
	versions []string
	isDone   bool
}

type play struct {
	d       *lib.Deployment
	mu      sync.Mutex
	mixed   int
	whole   int
	broken  int
	isEnded bool
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
	var decoders []*lib.Server
	for i := range prefills + decodes {
		phase := "prefill"
		if i >= prefills {
			phase = "decode"
		}
		s := d.NewServer(lib.ServerOptions{
			ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: service, Address: d.ServerAddress(i + 1), Phase: phase, Slots: 128, EventGap: eventGap,
		})
		if err := s.Start("v1"); err != nil {
			fmt.Println(err)
			return 2
		}
		if phase == "decode" {
			decoders = append(decoders, s)
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
	p := &play{d: d}
	var clients sync.WaitGroup
	for range streams {
		clients.Go(p.client)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	if lib.Trouble() {
		if err := p.update(decoders); err != nil {
			fmt.Println(err)
			return 2
		}
	} else {
		time.Sleep(decodes * (downTime + updateGap))
	}
	time.Sleep(4 * time.Second)
	p.mu.Lock()
	p.isEnded = true
	p.mu.Unlock()
	clients.Wait()
	d.Record.Print("streams that were complete: %d, broken off for good: %d", p.whole, p.broken)
	d.Record.Print("streams with events of servers of two software versions: %d (the rule allows two)", p.mixed)
	if p.whole == 0 {
		return 2
	}
	if p.mixed > 2 {
		return 1
	}
	return 0
}

// update brings the servers to another version.
func (p *play) update(servers []*lib.Server) error {
	if os.Getenv("STORE") == "silent" {
		p.d.Record.Print("the store is silent for %v", silence)
		p.d.Store.SetDown(true)
		time.AfterFunc(silence, func() {
			p.d.Store.SetDown(false)
			p.d.Record.Print("the store answers again")
		})
	}
	for _, s := range servers {
		s.Crash()
		time.Sleep(downTime)
		if err := s.Start("v2"); err != nil {
			return err
		}
		time.Sleep(updateGap)
	}
	return nil
}

// client asks for one stream after the other until the end.
func (p *play) client() {
	for {
		p.mu.Lock()
		isEnded := p.isEnded
		p.mu.Unlock()
		if isEnded {
			return
		}
		r := p.stream()
		p.mu.Lock()
		if len(r.versions) > 1 {
			p.mixed++
			p.d.Record.Line("stream %s holds events of %s", r.first, strings.Join(r.versions, " and "))
		}
		if r.isDone {
			p.whole++
		} else {
			p.broken++
		}
		p.mu.Unlock()
	}
}

// stream asks for one stream and takes it up once if it breaks.
func (p *play) stream() (r result) {
	last := ""
	body := []byte(`{"prompt":"hint"}`)
	end := time.Now().Add(15 * time.Second)
	for attempt := 0; attempt < 2; attempt++ {
		id := lib.NewID()
		q := &lib.Request{
			ID: id, Method: "POST", Path: path, Host: p.d.Host, Body: body, Deadline: time.Until(end),
			Lines: fmt.Sprintf("X-Model: m\r\nX-Token-Count: 60,%d\r\nX-Prompt-Prefix: aa01:40,%s:20\r\n", tokens, id),
		}
		if last != "" {
			q.Lines += "Last-Event-Id: " + last + "\r\nResumes: " + r.first + "\r\n"
		}
		front := p.d.Instances[rand.IntN(len(p.d.Instances))].Front
		p.d.Record.Line("client sends %s to %s after event %q of %q", id, front, last, r.first)
		var c lib.Client
		resp, err := c.Send(front, q)
		if err != nil || resp.StatusCode != 200 {
			status := 0
			if err == nil {
				status = resp.StatusCode
			}
			p.d.Record.Line("attempt %s: status %d, %v", id, status, err)
			c.Close()
			time.Sleep(200 * time.Millisecond)
			continue
		}
		err = p.read(bufio.NewReader(resp.Body), id, &r, &last)
		c.Close()
		if err == nil {
			r.isDone = true
			return r
		}
		p.d.Record.Line("attempt %s broke after event %q: %v", id, last, err)
	}
	return r
}

// read reads the events of one answer.
func (p *play) read(events *bufio.Reader, id string, r *result, last *string) error {
	for {
		e, err := lib.ReadEvent(events)
		if errors.Is(err, io.EOF) {
			if *last == fmt.Sprint(tokens) {
				return nil
			}
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if r.first == "" {
			r.first = id
		}
		*last = e.ID
		server, version, _ := strings.Cut(e.Data, " ")
		if len(r.versions) == 0 || r.versions[len(r.versions)-1] != version {
			r.versions = append(r.versions, version)
			p.d.Record.Line("stream %s: event %s comes from %s at version %s in attempt %s", r.first, e.ID, server, version, id)
		}
	}
}
