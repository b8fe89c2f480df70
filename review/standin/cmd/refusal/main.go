// Command refusal plays a server that is full at times, and that sends some of its refusals twice, the second
// time at the point where the next answer is expected.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review/lib"
)

const (
	service   = "books"
	servers   = 3
	work      = 30 * time.Millisecond
	instances = 3
	senders   = 12
	gap       = 20 * time.Millisecond
	deadline  = 2500 * time.Millisecond
	// fullShare is the share of the requests that the first server refuses as full. In the trouble it sends
	// twiceShare of these refusals twice, 3 in 100 of its answers.
	fullShare  = 0.3
	twiceShare = 0.1
	trouble    = 5 * time.Second
)

type play struct {
	d  *lib.Deployment
	mu sync.Mutex
	// late holds the connections on which a second refusal is due before the next answer.
	late      map[net.Conn]bool
	isTrouble bool
	second    int
	answers   map[string]int
	// isEnd ends the clients.
	isEnd bool
}

// refusal is the answer of a full server as the users' examples show it.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

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
			"name": "change", "host": d.Host, "prefix": "/change/", "kind": "unsafe", "timeout_ms": 1200, "slo_ms": 150, "priority": 0,
			"service": service, "attempts": 1, "sticky": false, "can_resume": false,
		}},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	p := &play{d: d, late: map[net.Conn]bool{}, answers: map[string]int{}}
	var all []*lib.Server
	for i := range servers {
		o := lib.ServerOptions{ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: service, Address: d.ServerAddress(i + 1), Slots: 6, Work: work}
		if i == 0 {
			o.Hook = p.arrive
		}
		s := d.NewServer(o)
		if err := s.Start("v1"); err != nil {
			fmt.Println(err)
			return 2
		}
		all = append(all, s)
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
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	for range senders {
		clients.Go(p.client)
	}
	time.Sleep(3 * time.Second)
	if lib.Trouble() {
		p.set(func() { p.isTrouble = true })
		time.Sleep(trouble)
		p.set(func() { p.isTrouble = false })
	}
	time.Sleep(3 * time.Second)
	p.set(func() { p.isEnd = true })
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	return p.judge(all)
}

func (p *play) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// judge counts the requests that ran more than once, and those that were refused and ran.
func (p *play) judge(all []*lib.Server) int {
	runs := map[string][]string{}
	for _, s := range all {
		for _, r := range s.Runs() {
			runs[r.ID] = append(runs[r.ID], s.ID)
		}
	}
	twice := 0
	for id, at := range runs {
		if len(at) > 1 {
			twice++
			p.d.Record.Line("request %s ran at %s", id, strings.Join(at, " and "))
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.d.Record.Print("refusals that were sent twice: %d", p.second)
	p.d.Record.Print("requests that may run once at most: %d ran, %d of them more than once", len(runs), twice)
	p.d.Record.Print("answers: %v", p.answers)
	if len(runs) == 0 {
		return 2
	}
	if twice > 0 {
		return 1
	}
	return 0
}

// arrive answers as a server that is full at times.
func (p *play) arrive(s *lib.Server, c net.Conn, r *http.Request, _ []byte) (handled, keep bool) {
	p.mu.Lock()
	isLate := p.late[c]
	delete(p.late, c)
	isFull := !isLate && rand.Float64() < fullShare
	if isFull && p.isTrouble && rand.Float64() < twiceShare {
		p.late[c] = true
		p.second++
	}
	p.mu.Unlock()
	if isLate {
		p.d.Record.Line("server %s sends its last refusal again on the connection on which %s is waiting", s.ID, r.Header.Get("X-Request-Id"))
		if _, err := c.Write([]byte(refusal)); err != nil {
			return true, false
		}
		return false, true // then it runs the request
	}
	if !isFull {
		return false, true
	}
	_, err := c.Write([]byte(refusal))
	return true, err == nil
}

func (p *play) client() {
	var c lib.Client
	defer c.Close()
	for {
		p.mu.Lock()
		isEnd := p.isEnd
		p.mu.Unlock()
		if isEnd {
			return
		}
		i := p.d.Instances[rand.IntN(len(p.d.Instances))]
		q := &lib.Request{ID: lib.NewID(), Method: "POST", Path: "/change/2f", Host: p.d.Host, Body: []byte("posting"), Deadline: deadline}
		status, header, _, err := c.Do(i.Front, q)
		p.d.Record.Line("client: request %s at %s: status %d, %q, %v", q.ID, i.Name, status, header.Get("X-Upstream-Stamp"), err)
		p.set(func() { p.answers[fmt.Sprint(status)]++ })
		time.Sleep(gap)
	}
}
