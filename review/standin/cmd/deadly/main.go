// Command deadly plays a request that crashes each server that begins to run it, and that comes again.
package main

import (
	"fmt"
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
	service   = "books"
	work      = 30 * time.Millisecond
	instances = 3
	contact   = 3 * time.Second
	deadline  = 2500 * time.Millisecond
	playTime  = 60 * time.Second
	// senders is the number of clients that send the sound requests.
	senders = 8
)

var (
	servers   = number("SERVERS", 3)
	perSecond = number("SOUND", 40)
	repeatMs  = number("REPEAT", 2000)
	downMs    = number("DOWN", 3000)
)

// mode is how a server crashes: "dark" leaves its connections silent until it is back.
var mode = os.Getenv("MODE")

func number(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

type play struct {
	d  *lib.Deployment
	mu sync.Mutex
	// crashes holds when the request crashed a server, late those of contact_ms after the third and later.
	crashes []time.Time
	late    int
	sound   map[int]int
	deadly  map[int]int
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
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": d.Host, "prefix": "/" + name + "/", "kind": kind, "timeout_ms": 1200, "slo_ms": 150, "priority": 0,
			"service": service, "attempts": attempts, "sticky": false, "can_resume": false,
		}
	}
	d.Configure(map[string]any{
		"version":  7,
		"routes":   []map[string]any{route("change", "unsafe", 1), route("export", "safe", 2)},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	p := &play{d: d, sound: map[int]int{}, deadly: map[int]int{}}
	for i := range servers {
		s := d.NewServer(lib.ServerOptions{
			ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: service, Address: d.ServerAddress(i + 1), Slots: 6, Work: work, Hook: p.arrive,
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
				p.send("change", []byte("posting "+lib.NewID()), p.sound)
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(senders) * float64(time.Second) / float64(perSecond)))
			}
		})
	}
	clients.Go(func() {
		time.Sleep(6 * time.Second)
		for time.Now().Before(end) {
			body := "export 1"
			if lib.Trouble() {
				body = "deadly export 1"
			}
			p.send("export", []byte(body), p.deadly)
			time.Sleep(time.Duration(repeatMs) * time.Millisecond)
		}
	})
	clients.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	d.Record.Print("the request crashed servers %d times; it reached servers %d times later than 3 s after it had crashed the third (the rule allows 3)", len(p.crashes), p.late)
	d.Record.Print("answers to sound requests by status: %v; to the other request: %v", p.sound, p.deadly)
	if p.sound[200] == 0 {
		return 2
	}
	if p.late > 3 {
		return 1
	}
	return 0
}

// arrive crashes the server under the deadly request.
func (p *play) arrive(s *lib.Server, c net.Conn, r *http.Request, body []byte) (handled, keep bool) {
	if !strings.HasPrefix(string(body), "deadly") {
		return false, true
	}
	p.mu.Lock()
	if len(p.crashes) >= 3 && time.Since(p.crashes[2]) > contact {
		p.late++
	}
	p.crashes = append(p.crashes, time.Now())
	p.mu.Unlock()
	s.RecordRun(r)
	if mode == "dark" {
		s.GoDark()
		time.AfterFunc(time.Duration(downMs)*time.Millisecond, func() { p.restart(s) })
		return true, true
	}
	// The server sends the head of its answer and a part of the body before the run crashes it.
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\nContent-Length: 800\r\n\r\n%s", s.Echo(r), strings.Repeat("x", 400))
	time.Sleep(5 * time.Millisecond)
	s.Crash()
	time.AfterFunc(time.Duration(downMs)*time.Millisecond, func() { p.restart(s) })
	return true, false
}

// restart starts a server again under its ID and at its address.
func (p *play) restart(s *lib.Server) {
	s.Crash()
	if err := s.Start("v1"); err != nil {
		p.d.Record.Print("server %s doesn't start: %v", s.ID, err)
	}
}

func (p *play) send(route string, body []byte, answers map[int]int) {
	var c lib.Client
	defer c.Close()
	i := p.d.Instances[rand.IntN(len(p.d.Instances))]
	q := &lib.Request{ID: lib.NewID(), Method: "POST", Path: "/" + route + "/2f", Host: p.d.Host, Body: body, Deadline: deadline}
	status, header, _, err := c.Do(i.Front, q)
	p.d.Record.Line("client: %s %q as %s to %s: status %d, Retry-After %q, %v", route, body, q.ID, i.Name, status, header.Get("Retry-After"), err)
	p.mu.Lock()
	defer p.mu.Unlock()
	answers[status]++
}
