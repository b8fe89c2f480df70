package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"

	"gorseline/core"
)

// Exit codes of the binary. docs/COMMANDS.md lists them for scripts.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
	// exitConflict means that another operator's change was accepted first.
	exitConflict = 3
	// exitUnknown means that a change may or may not have been accepted.
	exitUnknown = 4
	// exitInvalid means that a document or a change is invalid.
	exitInvalid = 5
	// exitUnavailable means that nothing was read or changed; it is safe to retry.
	exitUnavailable = 6
	// exitNotInForce means that a change was accepted but is not known to be in force
	// everywhere.
	exitNotInForce = 7
)

// command describes one command of the binary. newData returns the struct that go-flags
// parses the arguments into; its exported fields are the settings of the command.
type command struct {
	name, short, long string
	newData           func(terminal) any
}

// registry lists all commands. The file of each command adds it in an init function.
var registry []command

// groupDescriptions describes the commands that only group sub-commands.
var groupDescriptions = map[string]string{
	"config":     "Check, show, replace and restore the configuration",
	"experiment": "Compare policies on the live fleet",
	"operation":  "Look up calls that may not be repeated",
	"policy":     "List, show, create and compare policies",
	"preset":     "List, show, create and switch presets",
}

// register adds a command, whose data is created for each run.
func register[T any](name, short, long string) {
	registry = append(registry, command{name, short, long, func(terminal) any { return new(T) }})
}

// terminalCommand is a command that reads and writes a given terminal.
type terminalCommand[T any] interface {
	*T
	setTerminal(terminal)
}

// registerTerminal adds a command that reads and writes a given terminal. Its name may
// consist of a group and a sub-command, such as "preset list".
func registerTerminal[T any, P terminalCommand[T]](name, short, long string) {
	registry = append(registry, command{name, short, long, func(t terminal) any {
		data := P(new(T))
		data.setTerminal(t)
		return data
	}})
}

// failure is an error of a command that has run, as opposed to a usage error. Its exit code
// is exitFailed.
type failure struct{ error }

// exitError is an error with an exit code.
type exitError struct {
	error
	code int
}

// Main parses args, runs the command and returns the exit code.
func Main(args []string) int {
	return run(args, terminal{out: os.Stdout, err: os.Stderr, in: os.Stdin})
}

func run(args []string, t terminal) int {
	_, err := newParser(t).ParseArgs(args)
	return exitCode(err, t)
}

// newParser returns a parser of all commands, which run on the terminal.
func newParser(t terminal) *flags.Parser {
	parser := flags.NewNamedParser("gorseline", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serving system for a fixed fleet of model engines."
	parser.EnvNamespace = "GORSELINE"
	for _, c := range registry {
		parent, name := parser.Command, c.name
		if group, rest, nested := strings.Cut(c.name, " "); nested {
			parent, name = findGroup(parser, group), rest
		}
		if _, err := parent.AddCommand(name, c.short, c.long, c.newData(t)); err != nil {
			panic(err) // a field tag is invalid, which is a programming error
		}
	}
	return parser
}

// findGroup returns the group with a name, and adds it if it doesn't exist.
func findGroup(parser *flags.Parser, name string) *flags.Command {
	if group := parser.Find(name); group != nil {
		return group
	}
	group, err := parser.AddCommand(name, groupDescriptions[name], groupDescriptions[name]+".", &struct{}{})
	if err != nil {
		panic(err) // the group is invalid, which is a programming error
	}
	return group
}

// exitCode prints an error and returns its exit code.
func exitCode(err error, t terminal) int {
	if err == nil {
		return exitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		fmt.Fprintln(t.out, usage.Message)
		return exitOK
	}
	fmt.Fprintln(t.err, "gorseline:", err)
	var withCode exitError
	if errors.As(err, &withCode) {
		return withCode.code
	}
	var failed failure
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitUsage
}

// terminal holds the standard streams of a command.
type terminal struct {
	out, err io.Writer
	in       io.Reader
}

// invalidSetting returns the error of a setting with an invalid value.
func invalidSetting(name string, value any, accepted string) error {
	return &core.InvalidValueError{Path: name, Value: fmt.Sprint(value), Accepted: []string{accepted}}
}

// untilInterrupted returns a context that is cancelled by SIGINT or SIGTERM.
func untilInterrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// logsIf returns the destination of the instances' log lines: the standard error if verbose,
// or none.
func logsIf(verbose bool) io.Writer {
	if verbose {
		return os.Stderr
	}
	return io.Discard
}
