// Package soak runs instances as processes of their own against stand-ins of the
// operators' platform, disturbs them at random from outside, and checks what callers and
// targets see: proxies on loopback delay, reset, cut and silence connections, signals
// stop, pause and kill processes, and the store and the targets misbehave.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gorseline/core/common/pause"
)

// Options configure a soak.
type Options struct {
	// Command starts an instance; the settings are added as flags.
	Command []string
	Seed    uint64
	// FaultDuration is how long faults are brought about.
	FaultDuration time.Duration
	Instances     int
	Callers       int
	// Dir gets settings and logs.
	Dir string
}

// Report is the outcome of a soak.
type Report struct {
	Seed     uint64
	Requests int
	Answered int
	Refused  int
	// Faults lists what was brought about, with the time in seconds.
	Faults []string
	// Violations is empty if all promises were kept.
	Violations []string
}

// childVariable marks the environment of instances, for binaries that hold more than the
// instance.
const childVariable = "GORSELINE_SOAK_CHILD"

// IsChild reports whether this process was started as an instance of a soak.
func IsChild() bool { return os.Getenv(childVariable) != "" }

// soak is one run.
type soak struct {
	options Options
	site    *site
	entries []*entry
	callers *callers
	began   time.Time
	history []string

	mu   sync.Mutex
	errs []error
}

// Times of a soak.
const (
	// startLimit bounds the start of instances, also on a busy machine.
	startLimit = 15 * time.Second
	// recoverLimit is how soon after the last fault requests must be served again.
	recoverLimit = 12 * time.Second
	// applyLimit is how soon a configuration must be in force on calm instances.
	applyLimit = 2 * time.Second
)

// Run plays one soak.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{options: o, began: time.Now()}
	defer s.close()
	if err := s.prepare(); err != nil {
		return Report{}, err
	}
	if err := s.await(ctx, startLimit, s.serve); err != nil {
		return Report{}, errors.Wrap(err, "instances did not start")
	}
	var found []string
	var callers, watchers sync.WaitGroup
	load, stop := context.WithCancel(ctx)
	defer stop()
	for i := range o.Callers {
		callers.Go(func() { s.callers.run(load, i, o.Seed) })
	}
	var watching []*watcher
	for _, e := range s.entries {
		w := &watcher{site: s.site, callers: s.callers, entry: e}
		watching = append(watching, w)
		watchers.Go(func() { w.run(load, o.Seed) })
	}
	disturbed, calm := context.WithTimeout(ctx, o.FaultDuration)
	defer calm()
	s.play(disturbed, rand.New(rand.NewPCG(o.Seed, 9)))
	found = append(found, s.checkRecovery(ctx)...)
	stop()
	callers.Wait()
	watchers.Wait()
	for _, w := range watching {
		found = append(found, w.violations()...)
	}
	s.site.store.WaitForDelayedWrites()
	results := s.callers.all()
	found = append(found, violations(results, s.site.targets)...)
	for _, e := range s.entries {
		if e.surprises > 0 {
			found = append(found, fmt.Sprintf("%s ended by itself %d times", e.name, e.surprises))
		}
	}
	return s.report(results, found), errors.Wrap(s.failed(), "soak")
}

func (s *soak) report(results []result, found []string) Report {
	r := Report{Seed: s.options.Seed, Requests: len(results), Faults: s.history, Violations: found}
	for i := range results {
		switch results[i].status {
		case 200:
			r.Answered++
		case 503:
			r.Refused++
		}
	}
	return r
}

// prepare starts the stand-ins and the instances.
func (s *soak) prepare() error {
	if err := os.MkdirAll(s.options.Dir, 0o700); err != nil {
		return errors.Wrap(err, "create directory")
	}
	var err error
	if s.site, err = newSite(); err != nil {
		return err
	}
	for i := range s.options.Instances {
		store, err := newProxy(s.site.address)
		if err != nil {
			return errors.Wrap(err, "start proxy")
		}
		dc := string(rune('a' + i%2))
		e, err := newEntry(fmt.Sprintf("n%d", i), dc, filepath.Clean(s.options.Dir), s.options.Command, store)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	s.callers = newCallers(s.entries)
	return nil
}

func (s *soak) close() {
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.stop(syscall.SIGKILL)
		e.store.close()
		_ = e.logs.Close() // the process has ended
	}
	if s.site != nil {
		s.site.close()
	}
}

func (s *soak) anyEntry(rng *rand.Rand) *entry { return s.entries[rng.IntN(len(s.entries))] }

// start starts the process of an instance again.
func (s *soak) start(e *entry) { s.note(e.start()) }

// note keeps an error of the soak itself.
func (s *soak) note(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

func (s *soak) failed() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) > 0 {
		return s.errs[0]
	}
	return nil
}

// await waits until holds returns nothing.
func (s *soak) await(ctx context.Context, limit time.Duration, holds func(context.Context) error) error {
	deadline := time.Now().Add(limit)
	for {
		err := holds(ctx)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

// serve asks each instance for one request of each kind.
func (s *soak) serve(ctx context.Context) error {
	for _, e := range s.entries {
		for _, route := range []string{"once", "safe", "stream", "single"} {
			id := fmt.Sprintf("probe-%d-%s-%s", time.Now().UnixNano(), e.name, route)
			if r := s.callers.send(ctx, e, route, id, 10); r.err != nil || r.status != 200 {
				return errors.Errorf("%s: /%s/ answered %d, error %v", e.name, route, r.status, r.err)
			}
		}
	}
	return nil
}

// checkRecovery checks that everything works once all faults are over, and that a new
// configuration is then in force in time.
func (s *soak) checkRecovery(ctx context.Context) []string {
	var found []string
	if err := s.await(ctx, recoverLimit, s.serve); err != nil {
		return append(found, fmt.Sprintf("not all served %v after the last fault: %v", recoverLimit, err))
	}
	// Calm instances are those that were left alone for contact_ms, 3 s.
	pause.For(ctx, 3*time.Second)
	s.note(s.site.configure())
	version := fmt.Sprintf("v%d", s.site.newest())
	err := s.await(ctx, applyLimit, func(ctx context.Context) error {
		for _, e := range s.entries {
			id := fmt.Sprintf("apply-%d-%s", time.Now().UnixNano(), e.name)
			if r := s.callers.send(ctx, e, version, id, 0); r.status == 404 {
				return errors.Errorf("%s does not know %s", e.name, version)
			}
		}
		return nil
	})
	if err != nil {
		found = append(found, fmt.Sprintf("configuration not in force after %v: %v", applyLimit, err))
	}
	return found
}
