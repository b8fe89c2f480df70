package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/io/operator"
)

// printing holds the terminal and the output format of a command.
type printing struct {
	terminal terminal
	Format   string `long:"format" env:"FORMAT" description:"Format of the output" choice:"table" choice:"json" default:"table"`
}

func (p *printing) setTerminal(t terminal) { p.terminal = t }

// print prints value as JSON if Format is json, and otherwise calls table, which prints it.
func (p *printing) print(value any, table func()) error {
	if p.Format != "json" {
		table()
		return nil
	}
	return p.printJSON(value)
}

func (p *printing) printJSON(value any) error {
	encoder := json.NewEncoder(p.terminal.out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

func (p *printing) printf(format string, args ...any) { fmt.Fprintf(p.terminal.out, format, args...) }

// rows prints a table. header holds the column heads, separated by spaces. Empty cells are
// printed as a dash.
func (p *printing) rows(header string, list [][]any) {
	w := tabwriter.NewWriter(p.terminal.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range list {
		cells := make([]string, len(row))
		for i, cell := range row {
			if cells[i] = fmt.Sprint(cell); cells[i] == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush() // there is nowhere to report a failed write to the terminal
}

// operatorSettings are the settings of all commands that call an instance.
type operatorSettings struct {
	printing
	Operators []string      `long:"operators" env:"OPERATORS" env-delim:"," description:"Operators' URL of an instance; several are tried in order" default:"http://127.0.0.1:7001"`
	Timeout   time.Duration `long:"timeout" env:"TIMEOUT" description:"Timeout of the whole command without --wait" default:"15s"`
}

// maxTimeout bounds the timeouts of a command.
const maxTimeout = 10 * time.Minute

// session is a client of the instance that a command calls.
type session struct {
	*operator.Client
	url string
	// configuration was in force on the instance when the session began.
	configuration core.Configuration
}

// connect returns a session with the first instance that answers.
func (s *operatorSettings) connect(ctx context.Context) (session, error) {
	if s.Timeout <= 0 || s.Timeout > maxTimeout {
		return session{}, invalidSetting("--timeout", s.Timeout, "above 0 to "+maxTimeout.String())
	}
	var failures []string
	for i, url := range s.Operators {
		// An unresponsive instance must not use up the time for the others.
		share := s.Timeout / time.Duration(len(s.Operators)+1-i)
		callCtx, cancel := context.WithTimeout(ctx, share)
		client := operator.NewClient(url, nil)
		configuration, err := client.Configuration(callCtx)
		cancel()
		if err == nil {
			return session{client, url, configuration}, nil
		}
		failures = append(failures, url+": "+err.Error())
	}
	return session{}, exitError{errors.Errorf("no instance answered; nothing was changed\n  %s\n"+
		"next: check --operators (GORSELINE_OPERATORS) or name another instance", strings.Join(failures, "\n  ")), exitUnavailable}
}

// call connects to an instance and calls use, both within the timeout.
func (s *operatorSettings) call(use func(context.Context, session) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	sess, err := s.connect(ctx)
	if err != nil {
		return err
	}
	return use(ctx, sess)
}

// readError is the error of a read that the instance did not answer.
func readError(sess session, err error) error {
	return exitError{errors.Errorf("%s did not answer: %s\nnext: repeat the command, or name another instance with --operators",
		sess.url, shortError(err)), exitUnavailable}
}

// shortError returns the message of an RPC error without its code.
func shortError(err error) string {
	var typed *connect.Error
	if errors.As(err, &typed) {
		return typed.Message()
	}
	return err.Error()
}

// wasSent reports whether a failed call may have reached the instance.
func wasSent(err error) bool {
	var network *net.OpError
	return !errors.As(err, &network) || network.Op != "dial"
}

// unknownNameError is the error of a name that is not in the configuration.
func unknownNameError(what, name string, known []string) error {
	return exitError{&core.InvalidValueError{Path: what, Value: name, Accepted: known}, exitInvalid}
}

// readFile reads a document; "-" is the standard input.
func (p *printing) readFile(name flags.Filename) ([]byte, error) {
	if name == "-" {
		return readAll(p.terminal.in)
	}
	data, err := os.ReadFile(string(name))
	if err != nil {
		return nil, exitError{errors.Errorf("%v\nnext: name a JSON file, or - for the standard input", err), exitUsage}
	}
	return data, nil
}
