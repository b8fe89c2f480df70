// Command uploads plays a burst of requests with bodies of the size that the operator allows, and the
// platform that ends processes whose memory exceeds the limit of their machine.
package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"review/lib"
)

const (
	service   = "books"
	servers   = 3
	slots     = 64
	work      = 5 * time.Second
	instances = 3
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes = 4194304
	// spread is the time between the first requests of two clients. It keeps the traffic of each machine
	// below its link of 1,000 Mbit/s: 60 requests in 5 s come to 400 Mbit/s in either direction.
	spread   = 55 * time.Millisecond
	deadline = 15 * time.Second
)

// usual is the number of clients, burst that of those that come besides in the burst.
var (
	usual = number("USUAL", 90)
	burst = number("BURST", 90)
)

func number(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

type play struct {
	d    *lib.Deployment
	body []byte

	mu sync.Mutex
	// arrived holds the requests that sound servers have got.
	arrived map[string]bool
	// ended counts answers by status, lost the requests that were passed on from a kept connection that
	// then closed without an answer, by instance.
	ended map[int]int
	lost  map[string]int
	peak  map[string]int
	kills int
	isEnd bool
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
			"name": "upload", "host": d.Host, "prefix": "/upload/", "kind": "unsafe", "timeout_ms": deadline.Milliseconds(), "slo_ms": 2000,
			"priority": 0, "service": service, "attempts": 1, "sticky": false, "can_resume": false,
		}},
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 630, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	p := &play{d: d, body: bytes.Repeat([]byte("r"), bodyBytes), arrived: map[string]bool{}, ended: map[int]int{}, lost: map[string]int{}, peak: map[string]int{}}
	for i := range servers {
		s := d.NewServer(lib.ServerOptions{
			ID: fmt.Sprintf("i-%08x", 0x7f3a0000+i), Service: service, Address: d.ServerAddress(i + 1), Slots: slots, Work: work, Hook: p.arrive,
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
	time.Sleep(4 * time.Second)
	var watch, clients sync.WaitGroup
	for _, i := range d.Instances {
		watch.Go(func() { p.limitMemory(i) })
	}
	add := func(n int) {
		for i := range n {
			clients.Go(func() { p.client(i) })
			time.Sleep(spread)
		}
	}
	add(usual)
	time.Sleep(12 * time.Second)
	if lib.Trouble() {
		d.Record.Print("a burst: %d clients besides the %d usual ones", burst, usual)
		add(burst)
	}
	time.Sleep(12 * time.Second)
	p.mu.Lock()
	p.isEnd = true
	p.mu.Unlock()
	clients.Wait()
	watch.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := 0
	for name, n := range p.lost {
		lost += n
		d.Record.Print("%s: %d requests from kept connections passed on to sound servers, connection closed without an answer", name, n)
	}
	for _, i := range d.Instances {
		d.Record.Print("%s: at most %d MB of %d", i.Name, p.peak[i.Name], lib.MemoryMB)
	}
	d.Record.Print("answers by status: %v; ended by the platform for their memory: %d processes", p.ended, p.kills)
	if p.ended[200] == 0 {
		return 2
	}
	for _, n := range p.lost {
		if n > 3 {
			return 1
		}
	}
	return 0
}

// arrive notes a request that reaches a server.
func (p *play) arrive(_ *lib.Server, _ net.Conn, r *http.Request, _ []byte) (handled, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrived[r.Header.Get("X-Request-Id")] = true
	return false, true
}

// limitMemory does what the platform does: it kills a process that exceeds the memory of its machine.
func (p *play) limitMemory(i *lib.Instance) {
	for !i.HasEnded() {
		p.mu.Lock()
		isEnd := p.isEnd
		p.mu.Unlock()
		if isEnd {
			return
		}
		if kb, ok := residentKB(i.PID()); ok {
			p.mu.Lock()
			p.peak[i.Name] = max(p.peak[i.Name], kb/1024)
			p.mu.Unlock()
			if kb > lib.MemoryMB*1024 {
				p.d.Record.Print("%s has %d MB, more than %d: the platform kills it", i.Name, kb/1024, lib.MemoryMB)
				i.Signal(syscall.SIGKILL)
				p.mu.Lock()
				p.kills++
				p.mu.Unlock()
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// residentKB returns the resident memory of a process, as the kernel states it.
func residentKB(pid int) (int, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, false
	}
	return resident * os.Getpagesize() / 1024, true
}

// client sends one request after the other on a kept connection.
func (p *play) client(n int) {
	var c lib.Client
	defer c.Close()
	instance := p.d.Instances[n%len(p.d.Instances)]
	for {
		p.mu.Lock()
		isEnd := p.isEnd
		p.mu.Unlock()
		if isEnd {
			return
		}
		if instance.HasEnded() {
			instance = p.d.Instances[rand.IntN(len(p.d.Instances))]
			time.Sleep(100 * time.Millisecond)
			continue
		}
		q := &lib.Request{ID: lib.NewID(), Method: "POST", Path: "/upload/2f", Host: p.d.Host, Body: p.body, Deadline: deadline}
		used := c.Used
		sent := time.Now()
		status, _, _, err := c.Do(instance.Front, q)
		p.d.Record.Line("client: request %s of %d bytes to %s: status %d, %v, after %v", q.ID, len(q.Body), instance.Name, status, err, time.Since(sent).Round(time.Millisecond))
		p.mu.Lock()
		p.ended[status]++
		if err != nil && used > 0 && p.arrived[q.ID] {
			p.lost[instance.Name]++
		}
		p.mu.Unlock()
		if status == http.StatusServiceUnavailable {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
