package commands

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"gorseline/core"
)

// Exit codes of the binary.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one command of the binary. Its exported fields are its settings.
type command struct {
	name, short, long string
	data              any
}

// registry lists the commands in the order of the help page. Each command's file
// adds its own entry in an init function.
var registry []command

func register(name, short, long string, data any) {
	registry = append(registry, command{name, short, long, data})
}

// failure is an error of a command that ran, as opposed to a usage error.
type failure struct{ error }

// Main parses args, runs the command and returns the exit code.
func Main(args []string) int {
	parser := flags.NewNamedParser("gorseline", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serving system for a fixed fleet of model engines."
	parser.EnvNamespace = "GORSELINE"
	for _, c := range registry {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // a command with an invalid field tag is a broken build
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(os.Stdout, usage.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, "gorseline:", err)
	var failed failure
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitUsage
}

// invalidSetting returns the one line for a setting with a value that isn't accepted.
func invalidSetting(name string, value any, accepted string) error {
	return &core.InvalidValueError{Path: name, Value: fmt.Sprint(value), Accepted: []string{accepted}}
}
