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

// process is one instance that runs as a process of its own.
type process struct {
	name      string
	command   *exec.Cmd
	callers   string
	operators string
	// exited is closed when the process has ended.
	exited chan struct{}
}

// shards is the number of shards of a drill.
const shards = 4

// startProcess runs "serve" of this binary and waits until its ports are open.
func startProcess(ctx context.Context, name string, centre core.DataCentre, site *deployment.Deployment, logs io.Writer) (*process, error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the own binary")
	}
	command := exec.CommandContext(ctx, binary, "serve",
		"--instance", name, "--data-centre", string(centre),
		"--callers-listen", "127.0.0.1:0", "--operators-listen", "127.0.0.1:0", "--peers-listen", "127.0.0.1:0",
		"--table-url", site.TableURL, "--objects-url", site.ObjectsURL, "--instances-url", site.InstancesURL,
		"--resume-key", "drill-key-that-is-not-secret", "--leave-limit", "1m", "--shards", strconv.Itoa(shards),
	)
	command.Stderr = logs
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, errors.Wrap(err, "open a pipe")
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
			p.callers = value
		case "Operators":
			p.operators = value
		case "Peers":
			peers = value
		}
	}
	go p.run()
	if peers == "" {
		return nil, errors.Errorf("instance %s ended before its ports were open", name)
	}
	site.Instances.Put(core.ListedInstance{ID: core.InstanceID(name), Address: peers, DataCentre: centre})
	return p, nil
}

// run waits for the process to end. How it ended doesn't matter: most are killed.
func (p *process) run() {
	_ = p.command.Wait()
	close(p.exited)
}

func (p *process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(s), "signal %s", p.name)
}

// stop ends the process, also while it is paused, and waits for it.
func (p *process) stop() {
	_ = p.signal(syscall.SIGKILL) // a process that has ended can't be signalled
	<-p.exited
}

// pause stops a process for a while and lets it go on.
func (r *run) pause(ctx context.Context, i int, d time.Duration) error {
	if err := r.processes[i].signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pause.For(ctx, d)
	return r.processes[i].signal(syscall.SIGCONT)
}
