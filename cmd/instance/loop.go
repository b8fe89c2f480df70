package instance

import "context"

// loop adapts a function that runs until its context ends to lifecycle.Runner.
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

// Done returns a channel that is closed when the function has returned.
func (l *loop) Done() <-chan struct{} { return l.done }
