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
	// exitConflict means that another operator's change came first.
	exitConflict = 3
	// exitUnknown means that a change may or may not have been accepted.
	exitUnknown = 4
	// exitInvalid means that a document or a change is invalid.
	exitInvalid = 5
	// exitUnavailable means that nothing was read or changed; a repeat is safe.
	exitUnavailable = 6
	// exitNotInForce means that a change was accepted and is not yet in force
	// everywhere.
	exitNotInForce = 7
)

// command is one command of the binary. The exported fields of its data are its
// settings.
type command struct {
	name, short, long string
	data              func(terminal) any
}

// registry lists the commands in the order of the help page. Each command's file
// adds its own entry in an init function.
var registry []command

// groups describe the commands that only hold other commands.
var groups = map[string]string{
	"config":     "Check, show, replace and restore the configuration",
	"experiment": "Compare policies on the live fleet",
	"operation":  "Look up calls that may not be repeated",
	"policy":     "List, show, create and compare policies",
	"preset":     "List, show, create and switch presets",
}

// register adds a command that is made anew for each run.
func register[T any](name, short, long string) {
	registry = append(registry, command{name, short, long, func(terminal) any { return new(T) }})
}

// terminalCommand is a command that writes to the terminal it is given.
type terminalCommand[T any] interface {
	*T
	setTerminal(terminal)
}

// registerTerminal adds a command that gets its terminal. Its name may
// consist of a group and a name, such as "preset list".
func registerTerminal[T any, P terminalCommand[T]](name, short, long string) {
	registry = append(registry, command{name, short, long, func(t terminal) any {
		data := P(new(T))
		data.setTerminal(t)
		return data
	}})
}

// failure is an error of a command that ran, as opposed to a usage error.
type failure struct{ error }

// exit is an error with its own exit code.
type exit struct {
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

func newParser(t terminal) *flags.Parser {
	parser := flags.NewNamedParser("gorseline", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serving system for a fixed fleet of model engines."
	parser.EnvNamespace = "GORSELINE"
	for _, c := range registry {
		parent, name := parser.Command, c.name
		if group, rest, nested := strings.Cut(c.name, " "); nested {
			parent, name = findGroup(parser, group), rest
		}
		if _, err := parent.AddCommand(name, c.short, c.long, c.data(t)); err != nil {
			panic(err) // a command with an invalid field tag is a broken build
		}
	}
	return parser
}

func findGroup(parser *flags.Parser, name string) *flags.Command {
	if group := parser.Find(name); group != nil {
		return group
	}
	group, err := parser.AddCommand(name, groups[name], groups[name]+".", &struct{}{})
	if err != nil {
		panic(err) // a group without a name is a broken build
	}
	return group
}

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
	var coded exit
	if errors.As(err, &coded) {
		return coded.code
	}
	var failed failure
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitUsage
}

// terminal is where a command reads and writes.
type terminal struct {
	out, err io.Writer
	in       io.Reader
}

// invalidSetting returns the one line for a setting with a value that isn't accepted.
func invalidSetting(name string, value any, accepted string) error {
	return &core.InvalidValueError{Path: name, Value: fmt.Sprint(value), Accepted: []string{accepted}}
}

// untilInterrupted returns a context that ends with SIGINT or SIGTERM.
func untilInterrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// logsIf returns where instances in this process write their log lines.
func logsIf(verbose bool) io.Writer {
	if verbose {
		return os.Stderr
	}
	return io.Discard
}
