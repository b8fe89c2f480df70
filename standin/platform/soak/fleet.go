package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gorseline/standin/platform"
)

// grace is the time between SIGTERM and SIGKILL.
const grace = 4 * time.Second

// entry is one instance, which may be restarted as a new process.
type entry struct {
	name     string
	callers  string
	ready    string
	settings string
	logs     *os.File
	command  []string
	store    *proxy

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// expected is set while the soak itself ends the process.
	expected bool
	// generation counts the processes.
	generation int
	startedAt  time.Time
	// surprises counts processes that ended by themselves.
	surprises int
}

// signalsTakenAfter is when a new process has taken over its signals at the latest. One
// that comes before ends it, as it does any program.
const signalsTakenAfter = 500 * time.Millisecond

// restartAfter is how soon the platform starts a process again that ended by itself.
const restartAfter = 200 * time.Millisecond

// settingsText is the platform's settings file of an instance. Its placeholders are the
// name, the data centre, the ports and the retry slack.
const settingsText = `node_name = %q
ip = "127.0.0.1"
zone = %q
region = "r"
port_range = [%d, %d]
heartbeat_ms = 500
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
directory = "127.0.0.1:%d"
[bounds]
drain_ms = 2000
grace_s = 4
retry_budget_ratio = 0.2
budget_slack = %d
lease_ms = 1000
ttl_max_s = 5
[platform]
address = %q
form = "table"
`

func newEntry(name, dc, dir string, command []string, store *proxy) (*entry, error) {
	ports, err := platform.FreePorts(4)
	if err != nil {
		return nil, err
	}
	e := &entry{
		name: name, command: command, store: store, settings: filepath.Join(dir, name+".toml"),
		callers: "127.0.0.1:" + strconv.Itoa(ports[1]), ready: "127.0.0.1:" + strconv.Itoa(ports[2]),
	}
	text := fmt.Sprintf(settingsText, name, dc, ports[0], ports[0], ports[1], ports[2], ports[3], 100, store.address())
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if e.logs, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	return e, nil
}

// start starts a process unless one runs.
func (e *entry) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return nil
	}
	args := append(append([]string{}, e.command[1:]...), "--settings", e.settings, "--metrics-port", "0", "--answer-keep", "300ms")
	cmd := exec.Command(e.command[0], args...)
	cmd.Stdout, cmd.Stderr = e.logs, e.logs
	cmd.Env = append(os.Environ(), childVariable+"=1")
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", e.name)
	}
	e.process, e.ended, e.expected = cmd, make(chan struct{}), false
	e.generation++
	e.startedAt = time.Now()
	go e.runWait(cmd, e.ended)
	return nil
}

// runWait waits for the end of a process.
func (e *entry) runWait(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // most processes are killed
	e.mu.Lock()
	isSurprise := !e.expected
	if isSurprise && time.Since(e.startedAt) > signalsTakenAfter {
		e.surprises++
	}
	e.process = nil
	close(ended)
	e.mu.Unlock()
	if isSurprise {
		time.Sleep(restartAfter)
		_ = e.start() // the checks show an instance that is missing
	}
}

// signal sends a signal to the process, if there is one.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		_ = e.process.Process.Signal(s) // it may just have ended
	}
}

// stop ends the process with a signal, and by force after the grace.
func (e *entry) stop(s syscall.Signal) {
	e.mu.Lock()
	e.expected = true
	ended, isRunning := e.ended, e.process != nil
	e.mu.Unlock()
	if !isRunning {
		return
	}
	e.signal(s)
	select {
	case <-ended:
	case <-time.After(grace):
		e.signal(syscall.SIGKILL)
		<-ended
	}
}

// state returns the number of the running process, or false if none runs.
func (e *entry) state() (generation int, isRunning bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation, e.process != nil && !e.expected
}
