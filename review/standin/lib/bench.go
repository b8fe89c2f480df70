package lib

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord opens record.txt in the case's folder.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, began: time.Now()}, err
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Print writes a line to the record and to standard output.
func (r *Record) Print(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Deployment is a small deployment: machines with one instance each, servers and the store.
type Deployment struct {
	Record *Record
	Store  *Store
	Host   string
	// Temp is a temporary folder, Root the repository.
	Temp, Root string
	net        int
	Instances  []*Instance
}

// Instance is one process of the project's program.
type Instance struct {
	Name, IP string
	Front    string
	Ready    string
	cmd      *exec.Cmd
	log      *os.File
	done     chan struct{}
	mu       sync.Mutex
	hasEnded bool
}

// Trouble reports whether the disruption is to be played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// NewDeployment starts the store. It takes a free part of the loopback range.
func NewDeployment(folder string) (*Deployment, error) {
	record, err := NewRecord(folder)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, Host: "review.example", Temp: temp, Root: root}
	for range 20 {
		d.net = 16 + rand.IntN(200)
		if d.Store, err = NewStore(fmt.Sprintf("127.%d.200.1:8142", d.net)); err == nil {
			go d.endOnSignal()
			return d, nil
		}
	}
	return nil, err
}

// endOnSignal ends all processes if the script is ended.
func (d *Deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.Close()
	os.Exit(2)
}

// ServerAddress returns the address of a server by its number.
func (d *Deployment) ServerAddress(i int) string { return fmt.Sprintf("127.%d.64.%d:8080", d.net, i) }

// Configure writes a configuration as the operator does.
func (d *Deployment) Configure(document map[string]any) {
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	d.Store.Put("op", "config", data)
	d.Record.Line("operator configuration %s", data)
}

// MemoryMB is the memory of a machine, as on the users' sheets.
const MemoryMB = 284

const settingsFormat = `node_name = %q
role = "entry"
machine_class = "front"
serves = ["front","directory"]
ip = %q
zone = "zone-a"
region = "region-a"
port_range = [7660,7675]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "%[2]s:8144"
ready = "%[2]s:8140"
directory = "%[2]s:8143"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %[3]d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recover_s = 12
transit_ms = 120
again_s = 3
require_fence = false
lease_ms = 3000
thaw_ms = 300
ttl_max_s = 5
[platform]
address = %[4]q
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 3.0
part_writes_per_s = 300
row_bytes = 65536
across = true
history_s = 20
`

// StartInstance starts the program with the command of the deploy file.
func (d *Deployment) StartInstance(number int) (*Instance, error) {
	ip := fmt.Sprintf("127.%d.1.%d", d.net, number)
	if number == 1 && isFree("127.0.0.1") {
		// Connections between loopback addresses come from this one. An instance takes requests from
		// another one only if they come from the address of an instance.
		ip = "127.0.0.1"
	}
	i := &Instance{Name: fmt.Sprintf("front-zone-a-%d", number), IP: ip, Front: ip + ":8144", Ready: ip + ":8140", done: make(chan struct{})}
	path := filepath.Join(d.Temp, i.Name+".toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, settingsFormat, i.Name, ip, MemoryMB, d.Store.Address), 0o600); err != nil {
		return nil, err
	}
	var err error
	if i.log, err = os.Create(filepath.Join(d.Temp, i.Name+".log")); err != nil {
		return nil, err
	}
	i.cmd = exec.Command("target/entry", "--metrics-port", "9464")
	i.cmd.Dir = d.Root
	i.cmd.Env = []string{"GORSELINE_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + d.Temp}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := i.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = i.cmd.Wait() // the end is recorded
		d.Record.Line("%s ended: %v", i.Name, i.cmd.ProcessState)
		i.mu.Lock()
		i.hasEnded = true
		i.mu.Unlock()
		close(i.done)
	}()
	d.Instances = append(d.Instances, i)
	d.Record.Line("%s started, process %d", i.Name, i.cmd.Process.Pid)
	return i, nil
}

// isFree reports whether the ports of an instance are free at an address.
func isFree(ip string) bool {
	for _, port := range []int{8144, 8140, 8143, 7660, 9464} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// PID returns the process ID.
func (i *Instance) PID() int { return i.cmd.Process.Pid }

// HasEnded reports whether the process has ended.
func (i *Instance) HasEnded() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.hasEnded
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s os.Signal) { _ = i.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (i *Instance) Kill() {
	_ = i.cmd.Process.Kill()
	<-i.done
}

// AwaitReady waits until all instances are ready.
func (d *Deployment) AwaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range d.Instances {
			resp, err := client.Get("http://" + i.Ready + "/-/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(d.Instances) {
			d.Record.Line("all instances are ready")
			return true
		}
	}
	return false
}

// Close ends all processes. The logs of the instances stay if KEEP is set.
func (d *Deployment) Close() {
	for _, i := range d.Instances {
		if !i.HasEnded() {
			i.Kill()
		}
		_ = i.log.Close()
	}
	_ = d.Record.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.Temp)
	} else {
		fmt.Println("logs in", d.Temp)
	}
}

// NewID returns a request ID.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Reset closes a connection with a reset, as the end of a process does while data is unread.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
