// Package part ties components to the life of an application.
package part

import (
	"context"

	"go.uber.org/fx"
)

// Part is a component that runs until its context ends.
type Part interface {
	Run(ctx context.Context)
	Done() <-chan struct{}
}

// Start runs a part between the start and the stop of the application. Parts stop
// in the reverse order of their construction, each before the next one. The returned
// function stops the part earlier.
func Start(lifecycle fx.Lifecycle, p Part) (stop func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	stop = func(limit context.Context) error {
		cancel()
		select {
		case <-p.Done():
			return nil
		case <-limit.Done():
			return limit.Err()
		}
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go p.Run(ctx)
			return nil
		},
		OnStop: stop,
	})
	return stop
}
