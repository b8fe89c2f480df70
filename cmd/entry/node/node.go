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

	"gorseline/core"
	"gorseline/platform"
)

// Options are the flags and environment variables of the program. The platform's settings
// are in the settings file.
type Options struct {
	SettingsPath        string        `long:"settings" env:"GORSELINE_NODE_FILE" required:"true" description:"Path of the platform's settings file"`
	MetricsPort         int           `long:"metrics-port" env:"GORSELINE_METRICS_PORT" default:"9464" description:"Port of GET /metrics on the address for peers; 0 disables it"`
	AnswerTTL           time.Duration `long:"answer-keep" env:"GORSELINE_ANSWER_KEEP" default:"1s" description:"How long callers may cache an answer of the directory"`
	RosterInterval      time.Duration `long:"roster-interval" env:"GORSELINE_ROSTER_INTERVAL" default:"100ms" description:"Minimum time between two reads of the registry of targets"`
	InitialPrefillShare float64       `long:"start-share" env:"GORSELINE_START_SHARE" default:"0.64" description:"Share of engines that run prefills until the demand is known"`
	BodyStall           time.Duration `long:"body-stall" env:"GORSELINE_BODY_STALL" default:"30s" description:"Longest time in which nothing of a body arrives, within the timeout of its route; callers that are idle for less are never met. 0 has no limit"`
	BodyRate            int64         `long:"body-rate" env:"GORSELINE_BODY_RATE" default:"1024" description:"Mean rate in bytes a second that a body must keep after --body-start; slower than any link. 0 has no limit"`
	BodyStart           time.Duration `long:"body-start" env:"GORSELINE_BODY_START" default:"30s" description:"Time after which --body-rate applies; most bodies have arrived by then"`
	WriteGrace          time.Duration `long:"write-grace" env:"GORSELINE_WRITE_GRACE" default:"10s" description:"Time after the deadline of a request in which a caller must have read its answer; a caller that reads nothing is disconnected then"`
	CheckOnly           bool          `long:"check" description:"Check the settings and exit"`
}

// validate checks the limits of callers.
func (o *Options) validate() error {
	if o.WriteGrace <= 0 {
		return &core.InvalidValueError{Path: "write-grace", Value: o.WriteGrace.String(), Accepted: []string{"a time above 0"}}
	}
	if o.BodyStall < 0 || o.BodyStart < 0 || o.BodyRate < 0 {
		return &core.InvalidValueError{Path: "body-stall, body-start, body-rate", Value: "negative", Accepted: []string{"0 or more"}}
	}
	return nil
}

// Run runs an instance until SIGTERM or SIGINT, then drains and stops it. With CheckOnly it
// only checks the settings.
func Run(options Options, output io.Writer) error {
	// The handler is installed first, because an unhandled SIGHUP ends the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	settings, err := platform.ReadSettings(options.SettingsPath)
	if err != nil {
		return err
	}
	if err := options.validate(); err != nil {
		return err
	}
	if options.CheckOnly {
		return nil
	}
	if limit := softMemoryLimit(settings); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	app, n, err := assemble(options, settings, output)
	if err != nil {
		return err
	}
	if err := app.Start(context.Background()); err != nil {
		return errors.Wrap(err, "start")
	}
	n.log.WithFields(log.Fields{
		"DataCentre": settings.DataCentre, "Callers": settings.CallerAddress, "Peers": settings.PeerAddress, "Store": settings.Store.Address,
	}).Info("Started")
	n.waitForStop(signals)
	n.drain()
	ctx, cancel := context.WithTimeout(context.Background(), appStopTimeout)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		// All requests have ended; only calls to an unresponsive dependency can remain.
		n.log.WithError(err).Warn("StoppedEarly")
	}
	return nil
}

// assemble wires the components of an instance. It listens on the instance's addresses but
// starts nothing. replaced holds options that replace components.
func assemble(options Options, settings platform.Settings, output io.Writer, replaced ...fx.Option) (*fx.App, *node, error) {
	var n *node
	app := fx.New(fx.NopLogger, module(options, settings, output), fx.Populate(&n), fx.Options(replaced...))
	// The root cause names the address or setting. The chain of constructors is omitted.
	return app, n, errors.Wrap(dig.RootCause(app.Err()), "assemble")
}

// appStopTimeout bounds the stop of the components after the last request.
const appStopTimeout = 2 * time.Second

// settingsInterval is the time between two checks of the settings file, which may change
// without a signal.
const settingsInterval = 2 * time.Second

// waitForStop returns after SIGTERM or SIGINT. Until then it reloads the settings on SIGHUP
// and periodically.
func (n *node) waitForStop(signals <-chan os.Signal) {
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

// reload reads the settings file and applies the bounds, such as the retry budget and the
// time for which callers cache addresses. The log line states whether other settings have
// changed, which take effect at the next start. An invalid file changes nothing.
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
	n.budgets.SetLimits(settings.Bounds.RetryRatio, settings.Bounds.RetryBurst)
	n.currency.SetMaxAge(settings.Bounds.ConfigurationDelay)
	reloaded := old
	reloaded.Bounds = settings.Bounds
	n.log.WithFields(log.Fields{
		"RetryRatio": settings.Bounds.RetryRatio, "RetrySlack": settings.Bounds.RetryBurst,
		"StopGrace": settings.Bounds.StopGrace, "NeedsRestart": !reflect.DeepEqual(reloaded, settings),
	}).Info("SettingsReloaded")
}

// bounds returns the bounds in force.
func (n *node) bounds() platform.Bounds {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.settings.Bounds
}
