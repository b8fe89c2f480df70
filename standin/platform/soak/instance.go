package soak

import (
	"fmt"
	"net"
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

// shortGrace and longGrace are the times in seconds between the signal that stops a process and
// SIGKILL, as in the settings. Long streams need the longer one.
const (
	shortGrace = 4
	longGrace  = 8
)

// instance is an instance of gorseline, which may be restarted as a new process.
type instance struct {
	name          string
	callerAddress string
	readyAddress  string
	settingsPath  string
	logFile       *os.File
	command       []string
	// previous starts the previous build, which is used while isPrevious is set.
	previous   []string
	isPrevious bool
	storeProxy *proxy
	// grace is the time between the signal that stops a process and SIGKILL.
	grace time.Duration
	// answerTTL is how long callers may keep the addresses of instances.
	answerTTL time.Duration

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// isStopping is set from the time at which the soak itself stops the process.
	isStopping bool
	// isClosed is set at the end of the soak; no process is started after that.
	isClosed bool
	// generation is the number of processes that have been started.
	generation int
	startedAt  time.Time
	// unexpectedExits describes the processes that exited without being stopped.
	unexpectedExits []string
	// stops holds the times at which a process was told to stop.
	stops []time.Time
}

// signalSetupTimeout bounds the time until a new process has installed its signal handlers.
// A signal that arrives earlier terminates the process, so exits before it don't count as
// unexpected.
const signalSetupTimeout = 500 * time.Millisecond

// restartDelay is the time after which a process that exited unexpectedly is started again,
// as the platform does.
const restartDelay = 200 * time.Millisecond

// settingsFormat is the settings file of an instance. Its arguments are the settings at the top and in
// the bounds that only some soaks have, and the name, the data centre, four ports, the grace period, the
// limit on retries and the store's address.
const settingsFormat = `%[1]snode_name = %[3]q
ip = "127.0.0.1"
zone = %[4]q
region = "r"
port_range = [%[5]d, %[5]d]
heartbeat_ms = 500
[listen]
front = "127.0.0.1:%[6]d"
ready = "127.0.0.1:%[7]d"
directory = "127.0.0.1:%[8]d"
[bounds]
%[2]sdrain_ms = 2000
grace_s = %[9]d
retry_budget_ratio = %[10]g
budget_slack = %[11]g
lease_ms = 1000
ttl_max_s = 5
[platform]
address = %[12]q
form = "table"
`

func newInstance(name, dc string, o *Options, storeProxy *proxy) (*instance, error) {
	dir := filepath.Clean(o.Dir)
	ports, err := platform.FreePorts(4)
	if err != nil {
		return nil, err
	}
	inst := &instance{
		name: name, command: o.Command, previous: o.Previous, isPrevious: len(o.Previous) > 0, storeProxy: storeProxy, grace: o.grace(), answerTTL: o.answerTTL(),
		settingsPath:  filepath.Join(dir, name+".toml"),
		callerAddress: "127.0.0.1:" + strconv.Itoa(ports[1]), readyAddress: "127.0.0.1:" + strconv.Itoa(ports[2]),
	}
	top, bounds := o.organisationSettings()
	text := fmt.Sprintf(settingsFormat, top, bounds, name, dc, ports[0], ports[1], ports[2], ports[3],
		int(o.grace().Seconds()), o.Retries.Ratio, o.Retries.Slack, storeProxy.address())
	if err := os.WriteFile(inst.settingsPath, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	if inst.logFile, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	return inst, nil
}

// start starts a process unless one is running or the instance is closed.
func (inst *instance) start() error {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.process != nil || inst.isClosed {
		return nil
	}
	program := inst.program()
	args := append(append([]string{}, program[1:]...), "--settings", inst.settingsPath, "--metrics-port", "0", "--answer-keep", inst.answerTTL.String())
	cmd := exec.Command(program[0], args...)
	cmd.Stdout, cmd.Stderr = inst.logFile, inst.logFile
	cmd.Env = append(os.Environ(), childEnvVar+"=1")
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", inst.name)
	}
	inst.process, inst.exited, inst.isStopping = cmd, make(chan struct{}), false
	inst.generation++
	inst.startedAt = time.Now()
	go inst.runWait(cmd, inst.exited)
	return nil
}

// runWait waits until a process exits, and starts a new one if the exit was unexpected.
func (inst *instance) runWait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait() // most processes are killed, which is an error here
	inst.mu.Lock()
	isUnexpected := !inst.isStopping
	if age := time.Since(inst.startedAt); isUnexpected && age > signalSetupTimeout {
		inst.unexpectedExits = append(inst.unexpectedExits, fmt.Sprintf("%v after %v", err, age.Round(time.Millisecond)))
	}
	inst.process = nil
	close(exited)
	inst.mu.Unlock()
	if isUnexpected {
		time.Sleep(restartDelay)
		_ = inst.start() // the recovery check detects a missing instance
	}
}

// close kills the process and starts no more.
func (inst *instance) close() {
	inst.mu.Lock()
	inst.isClosed = true
	inst.mu.Unlock()
	inst.signal(syscall.SIGCONT)
	inst.stop(syscall.SIGKILL)
	inst.storeProxy.close()
	_ = inst.logFile.Close() // the process has exited
}

// signal sends a signal to the process if one is running.
func (inst *instance) signal(s syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.process != nil {
		_ = inst.process.Process.Signal(s) // the process may just have exited
	}
}

// signalServing sends a signal to the process if it serves callers. A process that is only starting may not
// have installed its signal handlers; on a busy machine that took longer than signalSetupTimeout.
func (inst *instance) signalServing(s syscall.Signal) {
	generation, _ := inst.state()
	conn, err := net.DialTimeout("tcp4", inst.callerAddress, signalSetupTimeout)
	if err != nil {
		return
	}
	_ = conn.Close() // nothing was sent
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.process != nil && inst.generation == generation {
		_ = inst.process.Process.Signal(s) // the process may just have exited
	}
}

// signalAgain sends a signal to the process if it is being stopped already.
func (inst *instance) signalAgain(s syscall.Signal) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.process != nil && inst.isStopping {
		_ = inst.process.Process.Signal(s) // the process may just have exited
	}
}

// allStops returns a copy of the times at which a process was told to stop.
func (inst *instance) allStops() []time.Time {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return append([]time.Time(nil), inst.stops...)
}

// stop sends a signal to the process and waits for its exit. It sends SIGKILL after the grace
// period.
func (inst *instance) stop(s syscall.Signal) {
	inst.mu.Lock()
	exited, isRunning := inst.exited, inst.process != nil
	if isRunning && !inst.isStopping && s == syscall.SIGTERM {
		inst.stops = append(inst.stops, time.Now())
	}
	inst.isStopping = true
	if isRunning {
		_ = inst.process.Process.Signal(s) // the process may just have exited
	}
	inst.mu.Unlock()
	if !isRunning {
		return
	}
	select {
	case <-exited:
	case <-time.After(inst.grace):
		inst.signal(syscall.SIGKILL)
		<-exited
	}
}

// state returns the generation of the latest process and whether it is running and not being
// stopped.
func (inst *instance) state() (generation int, isRunning bool) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	return inst.generation, inst.process != nil && !inst.isStopping
}
