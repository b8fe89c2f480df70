// Package lifecycle binds long-running components to the lifecycle of an application.
package lifecycle

import (
	"context"

	"go.uber.org/fx"
)

// Runner is a component that runs until its context ends.
type Runner interface {
	Run(ctx context.Context)
	Done() <-chan struct{}
}

// Register makes the application run r from its start until its stop. Runners stop in the
// reverse order of their registration, each before the next one. The returned function
// stops r earlier; it returns the context's error if the context ends before r is done.
func Register(lc fx.Lifecycle, r Runner) (stop func(context.Context) error) {
	runCtx, cancel := context.WithCancel(context.Background())
	stop = func(ctx context.Context) error {
		cancel()
		select {
		case <-r.Done():
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go r.Run(runCtx)
			return nil
		},
		OnStop: stop,
	})
	return stop
}
