package soak

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that is left running after a soak, because it was due to be started again
// when the soak ended.
func TestClosedInstanceIsNotStartedAgain(t *testing.T) {
	logFile, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	storeProxy, err := newProxy("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	inst := &instance{name: "n", command: []string{"false"}, storeProxy: storeProxy, logFile: logFile}
	if err := inst.start(); err != nil {
		t.Fatal(err)
	}
	exited := inst.exited
	<-exited
	inst.close()
	time.Sleep(2 * restartDelay)
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.process != nil || inst.generation != 1 {
		t.Errorf("%d processes started, one runs: %v", inst.generation, inst.process != nil)
	}
}

// Guards against a signal that ends a process which has not yet installed its handlers, and against one that
// is never sent.
func TestOnlyServingInstancesAreSignalled(t *testing.T) {
	logFile, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	storeProxy, err := newProxy("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	inst := &instance{name: "n", command: []string{"sh", "-c", "exec sleep 20"}, callerAddress: "127.0.0.1:1", storeProxy: storeProxy, logFile: logFile}
	defer inst.close()
	if err := inst.start(); err != nil {
		t.Fatal(err)
	}
	exited := inst.exited
	inst.signalServing(syscall.SIGKILL)
	select {
	case <-exited:
		t.Fatal("a process that doesn't serve got the signal")
	case <-time.After(100 * time.Millisecond):
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	inst.callerAddress = listener.Addr().String()
	inst.signalServing(syscall.SIGKILL)
	select {
	case <-exited:
	case <-time.After(5 * time.Second):
		t.Error("a process that serves got no signal")
	}
}
