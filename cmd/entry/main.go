// Command entry runs one instance that forwards callers' requests to targets on the
// operators' platform.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"gorseline/cmd/entry/node"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var options node.Options
	parser := flags.NewParser(&options, flags.Default)
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	if err := node.Run(options, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "entry:", err)
		os.Exit(exitFailed)
	}
}
