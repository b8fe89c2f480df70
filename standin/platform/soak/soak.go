// Package soak runs instances as separate processes against fakes of the operators' platform,
// injects random faults, and checks what callers and targets observe. Loopback proxies delay,
// reset, refuse and block connections, signals stop, pause and kill processes, and the store
// and the targets inject faults of their own.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gorseline/core/common/pause"
	"gorseline/standin/platform"
)

// Options configure a soak.
type Options struct {
	// Command starts an instance; flags for its settings are appended.
	Command []string
	// Previous starts an instance of an earlier build. If it is set, all instances start with it and are
	// replaced one after the other, beside the faults.
	Previous []string
	// Seed seeds the load and the faults.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Instances is the number of instances.
	Instances int
	// Callers is the number of concurrent callers.
	Callers int
	// Planned limits the faults to planned work and to what sound targets do: instances are stopped in
	// series, beside long streams, changes of the configuration and silences of targets.
	Planned bool
	// Versions is the number of software versions of the engines. From 2 on the faults are releases that
	// replace engines, broken answers of engines and killed instances, and callers take up broken
	// streams at any instance.
	Versions int
	// CrashingParts is the number of parts of prompts that crash engines. From 1 on the faults are crashes
	// of engines, killed, frozen and leaving instances and a store that is away or comes back from a copy.
	CrashingParts int
	// CrashingRequests is the number of requests that crash the targets that run them and come again and
	// again, beside the faults of CrashingParts.
	CrashingRequests int
	// StatedLimits makes targets state limits that rise, fall and end, beside killed, frozen and leaving
	// instances.
	StatedLimits bool
	// Cuts makes instances lose their links to all targets, beside killed, frozen and leaving instances.
	Cuts bool
	// Announcements makes targets state that they leave, without a change in the registry, and ask for
	// pauses, beside killed, frozen and leaving instances.
	Announcements bool
	// Endings makes targets break their answers in ways that must not look complete and answer with heads
	// that are no answers, beside killed and leaving instances, signals and configurations.
	Endings bool
	// Organisations is the number of organisations with API keys in the configuration. From 1 on keys are
	// added and dropped beside killed, frozen and leaving instances, a store that is away, comes back from a
	// copy or turns instances away, and cut links to it.
	Organisations int
	// Retries is the limit on retries in the settings of the instances.
	Retries RetryLimit
	// Dir is the directory for settings and logs; it is created if absent.
	Dir string
}

// grace returns the time between the signal that stops a process and SIGKILL.
func (o *Options) grace() time.Duration {
	if o.hasLongStreams() {
		return longGrace * time.Second
	}
	return shortGrace * time.Second
}

// answerTTL returns how long callers may keep the addresses of instances.
func (o *Options) answerTTL() time.Duration {
	if o.Planned {
		return time.Second
	}
	return 300 * time.Millisecond
}

// hasCrashes reports whether requests crash targets.
func (o *Options) hasCrashes() bool { return o.CrashingParts+o.CrashingRequests > 0 }

// faults returns the kinds of faults.
func (o *Options) faults() []fault {
	if o.Versions > 1 {
		return versionFaults
	}
	if o.Organisations > 0 && o.Cuts {
		return slices.Concat(organisationFaults, cutFaults)
	}
	if o.Organisations > 0 {
		return organisationFaults
	}
	if o.hasCrashes() && o.Cuts {
		return slices.Concat(crashFaults, cutFaults)
	}
	if o.hasCrashes() {
		return crashFaults
	}
	if o.Cuts {
		return cutFaults
	}
	if o.StatedLimits {
		return limitFaults
	}
	if o.Announcements {
		return announcementFaults
	}
	if o.Endings {
		return endingFaults
	}
	if o.Planned {
		return plannedFaults
	}
	return faults
}

// faultPause returns the time until the next faults.
func (o *Options) faultPause(rng *rand.Rand) time.Duration {
	d := time.Duration(rng.IntN(600)) * time.Millisecond
	if o.Organisations > 0 {
		return 4 * d // some instances are undisturbed, and key changes meet many kinds of faults
	}
	if o.hasCrashes() || o.StatedLimits || o.Cuts || o.Announcements {
		return 8 * d // so that instances are in touch with each other in between
	}
	return d
}

// Report is the outcome of a soak.
type Report struct {
	Seed     uint64
	Requests int
	// Answered is the number of requests with status 200.
	Answered int
	// Refused is the number of requests with status 503.
	Refused int
	// Faults lists the injected faults, each with its time in seconds since the start.
	Faults []string
	// RetryPeaks describes, for each service, the window that came closest to the limit on
	// retries.
	RetryPeaks []string
	// Streams describes the streams that callers took up; empty without several versions.
	Streams string
	// Crashes describes the parts and requests that crash targets; empty without such ones.
	Crashes string
	// LimitPeak describes the window that came closest to the stated limit of a target.
	LimitPeak string
	// Cuts describes the times for which instances were cut off from all targets.
	Cuts []string
	// Endings holds the numbers of answers that targets broke, by the way.
	Endings map[platform.RequestFault]int
	// Keys counts the requests by their API keys; zero without organisations.
	Keys KeyCounts
	// Replaced lists the replacements of the earlier build with their times.
	Replaced []string
	// Violations lists the guarantees that were broken; empty if none was.
	Violations []string
}

// childEnvVar is set in the environment of instances. It lets a binary with other functions,
// such as a test binary, detect that it must run as an instance.
const childEnvVar = "GORSELINE_SOAK_CHILD"

// IsChild reports whether this process was started as an instance of a soak.
func IsChild() bool { return os.Getenv(childEnvVar) != "" }

// soak is the state of one run.
type soak struct {
	options   Options
	testbed   *testbed
	instances []*instance
	callers   *callers
	started   time.Time
	// injected lists the faults with their times, replaced the replacements of the earlier build.
	injected []string
	replaced []string
	// retryPeaks describes the window of each service that came closest to the limit on retries.
	retryPeaks []string
	// streams describes the streams that callers took up.
	streams string
	crashes *crashes
	// links is nil unless instances are cut off from targets. cuts describes these times.
	links *links
	cuts  []string
	// lost describes the targets that each crashing part or request has cost.
	lost []string
	// limitPeak describes the window that came closest to the stated limit of a target.
	limitPeak string
	// gates holds the gates between the instances and the store; empty without organisations.
	gates []*gate
	// turning is locked while the store turns instances away.
	turning sync.Mutex
	// storeless holds the times for which instances could not reach the store.
	storeless map[string][]interval
	keyCounts KeyCounts
	// killing is locked while instances are killed and others must not be.
	killing sync.Mutex
	// releasing is locked during a release, which changes slots.
	releasing sync.Mutex
	// slots holds the index of the version of each engine that a release has replaced.
	slots map[int]int

	mu   sync.Mutex
	errs []error
	// disruptions holds the unplanned disruptions of processes and links.
	disruptions []interval
	// kills holds the times for which instances were down, by instance.
	kills map[string][]interval
}

// Timeouts of a soak.
const (
	// startTimeout bounds the start of all instances, also on a busy machine.
	startTimeout = 15 * time.Second
	// recoveryTimeout bounds the time from the end of the last fault until all routes work.
	recoveryTimeout = 12 * time.Second
	// applyTimeout bounds the time until undisturbed instances apply a configuration.
	applyTimeout = 2 * time.Second
)

// Run runs one soak. It returns an error if the soak itself failed; violations are only in the
// report.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{options: o, started: time.Now(), kills: map[string][]interval{}, storeless: map[string][]interval{}, slots: map[int]int{}}
	s.crashes = &crashes{sent: map[string]badSend{}, disrupted: map[string][]interval{}}
	defer s.close()
	if err := s.prepare(); err != nil {
		return Report{}, err
	}
	if err := s.waitFor(ctx, startTimeout, s.probeAll); err != nil {
		return Report{}, errors.Wrap(err, "instances did not start")
	}
	var violations []string
	var callerLoops, watcherLoops sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for i := range o.Callers {
		callerLoops.Go(func() { s.callers.run(loadCtx, i, o.Seed) })
	}
	if o.hasCrashes() {
		callerLoops.Go(func() { s.runBadCaller(loadCtx) })
	}
	if o.Planned {
		callerLoops.Go(func() { s.runCalls(loadCtx, rand.New(rand.NewPCG(o.Seed, 12))) })
	}
	if o.hasCrashes() || o.Announcements {
		watcherLoops.Go(func() { s.runRestarts(loadCtx) })
	}
	var watchers []*versionWatcher
	for _, inst := range s.instances {
		w := &versionWatcher{testbed: s.testbed, callers: s.callers, instance: inst}
		watchers = append(watchers, w)
		watcherLoops.Go(func() { w.run(loadCtx, o.Seed) })
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, o.FaultDuration)
	defer stopFaults()
	var replacements sync.WaitGroup
	if len(o.Previous) > 0 {
		replacements.Go(func() { s.runReplacements(ctx, rand.New(rand.NewPCG(o.Seed, 10))) })
	}
	if o.Organisations > 0 {
		watcherLoops.Go(func() { s.runKeyChanges(faultCtx, rand.New(rand.NewPCG(o.Seed, 11))) })
	}
	s.injectFaults(faultCtx, rand.New(rand.NewPCG(o.Seed, 9)))
	replacements.Wait()
	violations = append(violations, s.checkRecovery(ctx)...)
	if o.hasCrashes() || o.Organisations > 0 {
		pause.For(ctx, contactTime) // undisturbed
	}
	stopLoad()
	callerLoops.Wait()
	watcherLoops.Wait()
	for _, w := range watchers {
		violations = append(violations, w.allRegressions()...)
	}
	s.testbed.store.WaitForDelayedWrites()
	results := s.callers.allResults()
	violations = append(violations, s.checkAll(results)...)
	return s.report(results, violations), errors.Wrap(s.firstError(), "soak")
}

// checkAll checks what callers and targets have seen after the end of the run.
func (s *soak) checkAll(results []result) []string {
	violations := slices.Concat(
		checkResults(results, s.testbed.targets), s.checkLosses(results), s.checkVersions(results), s.checkRetries(),
		s.checkCrashes(), s.checkSoundRefused(results), s.checkCuts(results), s.checkAnnouncements(results), s.checkLimits(results),
		s.checkOrganisations(),
	)
	for _, inst := range s.instances {
		if n := len(inst.unexpectedExits); n > 0 {
			violations = append(violations, fmt.Sprintf("%s exited unexpectedly %d times: %s", inst.name, n, strings.Join(inst.unexpectedExits, "; ")))
		}
	}
	return violations
}

func (s *soak) report(results []result, violations []string) Report {
	r := Report{Seed: s.options.Seed, Requests: len(results), Faults: s.injected, RetryPeaks: s.retryPeaks, Streams: s.streams, Crashes: strings.Join(s.lost, "; "), LimitPeak: s.limitPeak, Cuts: s.cuts, Keys: s.keyCounts, Replaced: s.replaced, Endings: s.countEndings(), Violations: violations}
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

// prepare starts the testbed and the instances.
func (s *soak) prepare() error {
	if err := os.MkdirAll(s.options.Dir, 0o700); err != nil {
		return errors.Wrap(err, "create directory")
	}
	var err error
	if s.testbed, err = newTestbed(&s.options); err != nil {
		return err
	}
	stores, err := s.storeAddresses()
	if err != nil {
		return err
	}
	for i, store := range stores {
		if s.options.Organisations > 0 {
			g, err := newGate(store)
			if err != nil {
				return err
			}
			s.gates, store = append(s.gates, g), g.address
		}
		storeProxy, err := newProxy(store)
		if err != nil {
			return errors.Wrap(err, "start proxy")
		}
		dc := string(rune('a' + i%2))
		if s.options.Cuts {
			// The only one of its data centre reads the store itself, with the addresses of its links.
			dc = fmt.Sprintf("dc%d", i)
		}
		inst, err := newInstance(fmt.Sprintf("n%d", i), dc, &s.options, storeProxy)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, inst)
		if err := inst.start(); err != nil {
			return err
		}
	}
	s.setPace()
	s.prepareCrashes()
	s.callers = newCallers(s.instances, s.options.routes())
	s.callers.organisations = s.testbed.organisations
	s.callers.hasSubjects = s.options.hasCrashes()
	s.callers.hasUploads = s.options.Endings
	s.callers.takesUp = s.options.Versions > 1
	return nil
}

// storeAddresses returns the address of the store for each instance.
func (s *soak) storeAddresses() (addresses []string, err error) {
	if s.options.Cuts {
		s.links, addresses, err = newLinks(s.testbed, s.options.Instances)
		return addresses, err
	}
	for range s.options.Instances {
		addresses = append(addresses, s.testbed.storeAddress)
	}
	return addresses, nil
}

func (s *soak) close() {
	for _, inst := range s.instances {
		inst.close()
	}
	for _, g := range s.gates {
		g.close()
	}
	if s.links != nil {
		s.links.close()
	}
	if s.testbed != nil {
		s.testbed.close()
	}
}

func (s *soak) randomInstance(rng *rand.Rand) *instance {
	return s.instances[rng.IntN(len(s.instances))]
}

// start starts a new process of an instance.
func (s *soak) start(inst *instance) { s.recordError(inst.start()) }

// recordError records an error of the soak itself; nil is ignored.
func (s *soak) recordError(err error) {
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

// firstError returns the first recorded error, or nil.
func (s *soak) firstError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.errs) > 0 {
		return s.errs[0]
	}
	return nil
}
