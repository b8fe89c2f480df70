package commands

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"gorseline/cmd/instance"
)

type serveCommand struct{ instance.Settings }

func init() {
	register[serveCommand]("serve", "Run one instance",
		"Runs one entry instance until SIGTERM or SIGINT, which start a graceful shutdown. "+
			"A second signal hands open streams over at once and ends the process.")
}

// Execute runs the instance until a signal, then shuts it down gracefully within LeaveTimeout.
func (c *serveCommand) Execute([]string) error {
	if err := c.Validate(); err != nil {
		return err
	}
	running, err := instance.New(c.Settings, os.Stderr)
	if err != nil {
		return failure{err}
	}
	if err := running.Start(context.Background()); err != nil {
		return failure{err}
	}
	fmt.Fprintf(os.Stdout, "Callers=http://%s\nOperators=http://%s\nPeers=http://%s\n",
		running.CallersAddress(), running.OperatorsAddress(), running.PeersAddress())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), c.LeaveTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	leaveErr := running.Leave(ctx)
	if err := running.Stop(context.WithoutCancel(ctx)); err != nil {
		return failure{err}
	}
	if leaveErr != nil {
		return failure{fmt.Errorf("the shutdown was cut short: %w", leaveErr)}
	}
	return nil
}
