package instance

import (
	"context"

	"go.uber.org/fx"
)

// part is a component that runs until its context ends.
type part interface {
	Run(ctx context.Context)
	Done() <-chan struct{}
}

// start runs a part between the start and the stop of the application. Parts stop
// in the reverse order of their construction, each before the next one. The returned
// function stops the part earlier.
func start(lifecycle fx.Lifecycle, p part) (stop func(context.Context) error) {
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

// loop makes a part of a function that runs until its context ends.
type loop struct {
	function func(ctx context.Context)
	done     chan struct{}
}

func newLoop(function func(context.Context)) *loop { return &loop{function, make(chan struct{})} }

// Run calls the function.
func (l *loop) Run(ctx context.Context) {
	defer close(l.done)
	l.function(ctx)
}

// Done is closed when the function has returned.
func (l *loop) Done() <-chan struct{} { return l.done }
