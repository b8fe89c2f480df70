// Package node assembles an instance that forwards requests on the operators' platform.
package node

import (
	"context"
	"io"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"go.uber.org/dig"
	"go.uber.org/fx"

	"gorseline/platform"
)

// Options are the settings of the program itself. What the platform tells is in the
// settings file.
type Options struct {
	SettingsPath    string        `long:"settings" env:"GORSELINE_NODE_FILE" required:"true" description:"Path of the platform's settings file"`
	MetricsPort int           `long:"metrics-port" env:"GORSELINE_METRICS_PORT" default:"9464" description:"Port of GET /metrics on the address of the peers; 0 serves none"`
	AnswerTTL  time.Duration `long:"answer-keep" env:"GORSELINE_ANSWER_KEEP" default:"1s" description:"How long callers may keep an answer of the directory"`
	Roster      time.Duration `long:"roster-interval" env:"GORSELINE_ROSTER_INTERVAL" default:"100ms" description:"Least time between two reads of the registry of targets"`
	StartShare  float64       `long:"start-share" env:"GORSELINE_START_SHARE" default:"0.64" description:"Share of engines that compute prompts until a demand was seen"`
	CheckOnly   bool          `long:"check" description:"Check the settings and exit"`
}

// memoryShare is the part of the allowed memory at which the collector works harder.
const memoryShare = 0.7

// Run runs an instance until SIGTERM or SIGINT.
func Run(options Options, output io.Writer) error {
	// Signals are taken over first: SIGHUP ends a process that does not expect it.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	settings, err := platform.ReadSettings(options.SettingsPath)
	if err != nil {
		return err
	}
	if options.CheckOnly {
		return nil
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	app, n, err := assemble(options, settings, output)
	if err != nil {
		return err
	}
	if err := app.Start(context.Background()); err != nil {
		return errors.Wrap(err, "start")
	}
	n.log.WithFields(log.Fields{
		"DataCentre": settings.DataCentre, "Callers": settings.Callers, "Peers": settings.Peers, "Store": settings.Store.Address,
	}).Info("Started")
	n.untilStopped(signals)
	n.leave()
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		// All requests have ended; what is left are calls of a dependency that is silent.
		n.log.WithError(err).Warn("StoppedEarly")
	}
	return nil
}

// assemble wires the parts of an instance. It starts nothing.
func assemble(options Options, settings platform.Settings, output io.Writer) (*fx.App, *node, error) {
	var n *node
	app := fx.New(fx.NopLogger, module(options, settings, output), fx.Populate(&n))
	// The cause without the chain of constructors names the address or setting.
	return app, n, errors.Wrap(dig.RootCause(app.Err()), "assemble")
}

// stopLimit bounds the end of the parts after the last request.
const stopLimit = 2 * time.Second

// settingsInterval is the time between two looks at the settings file, which may change
// without a signal.
const settingsInterval = 2 * time.Second

// untilStopped returns with SIGTERM or SIGINT. SIGHUP, and time, read the settings again.
func (n *node) untilStopped(signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				n.log.WithField("Signal", s.String()).Info("Leaving")
				return
			}
			n.reload()
		case <-ticker.C:
			n.reload()
		}
	}
}

// reload reads the settings file again, and brings into force what may change while the
// process runs: the retry budget and the time that callers keep addresses. The rest is
// logged and holds from the next start.
func (n *node) reload() {
	settings, err := platform.ReadSettings(n.options.SettingsPath)
	if err != nil {
		n.log.WithError(err).Error("SettingsRejected")
		return
	}
	n.mu.Lock()
	old := n.settings
	if reflect.DeepEqual(old, settings) {
		n.mu.Unlock()
		return
	}
	n.settings.Bounds = settings.Bounds
	n.mu.Unlock()
	n.budgets.SetLimits(settings.Bounds.RetryRatio, settings.Bounds.RetrySlack)
	needsStart := old
	needsStart.Bounds = settings.Bounds
	n.log.WithFields(log.Fields{
		"RetryRatio": settings.Bounds.RetryRatio, "RetrySlack": settings.Bounds.RetrySlack,
		"StopGrace": settings.Bounds.StopGrace, "NeedsRestart": !reflect.DeepEqual(needsStart, settings),
	}).Info("SettingsReloaded")
}

// bounds returns the bounds in force.
func (n *node) bounds() platform.Bounds {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.Bounds
}
