package drill

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/pause"
	"gorseline/standin/deployment"
)

// process is one instance that runs as a separate process.
type process struct {
	name            string
	command         *exec.Cmd
	callerAddress   string
	operatorAddress string
	// exited is closed when the process has exited.
	exited chan struct{}
}

// shardCount is the number of lease shards in a drill.
const shardCount = 4

// startProcess runs the serve command of this executable as an instance, waits until its
// ports are open and adds it to the list of instances.
func startProcess(ctx context.Context, name string, dataCentre core.DataCentre, d *deployment.Deployment, logs io.Writer) (*process, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the executable")
	}
	command := exec.CommandContext(ctx, binary, "serve",
		"--instance", name, "--data-centre", string(dataCentre),
		"--callers-listen", "127.0.0.1:0", "--operators-listen", "127.0.0.1:0", "--peers-listen", "127.0.0.1:0",
		"--table-url", d.TableURL, "--objects-url", d.ObjectsURL, "--instances-url", d.InstancesURL,
		"--resume-key", "drill-key-that-is-not-secret", "--leave-limit", "1m", "--shards", strconv.Itoa(shardCount),
	)
	command.Stderr = logs
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open the standard output of an instance")
	}
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "start an instance")
	}
	p := &process{name: name, command: command, exited: make(chan struct{})}
	peers := ""
	lines := bufio.NewScanner(output)
	for peers == "" && lines.Scan() {
		key, value, _ := strings.Cut(lines.Text(), "=http://")
		switch key {
		case "Callers":
			p.callerAddress = value
		case "Operators":
			p.operatorAddress = value
		case "Peers":
			peers = value
		}
	}
	go p.run()
	if peers == "" {
		return nil, errors.Errorf("instance %s exited before its ports were open", name)
	}
	d.Instances.Put(core.ListedInstance{ID: core.InstanceID(name), Address: peers, DataCentre: dataCentre})
	return p, nil
}

// run waits for the process to exit. Its exit status doesn't matter, because most processes
// are killed.
func (p *process) run() {
	_ = p.command.Wait()
	close(p.exited)
}

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(s), "signal %s", p.name)
}

// stop kills the process, which may be paused, and waits for its exit.
func (p *process) stop() {
	_ = p.signal(syscall.SIGKILL) // fails if the process has already exited
	<-p.exited
}

// pauseProcess stops a process for d and then continues it.
func (r *run) pauseProcess(ctx context.Context, i int, d time.Duration) error {
	if err := r.processes[i].signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause.For(ctx, d)
	return r.processes[i].signal(syscall.SIGCONT)
}
