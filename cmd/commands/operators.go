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

// printing holds where and how a command prints.
type printing struct {
	terminal terminal
	Format   string `long:"format" env:"FORMAT" description:"Format of the output" choice:"table" choice:"json" default:"table"`
}

func (p *printing) setTerminal(t terminal) { p.terminal = t }

// print prints value as JSON or calls table, as the settings say.
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

// rows prints a table. Empty cells become a dash.
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
	_ = w.Flush() // a closed terminal can't be told
}

// operatorSettings are the settings of all commands that call an instance.
type operatorSettings struct {
	printing
	Operators []string      `long:"operators" env:"OPERATORS" env-delim:"," description:"Operators' URL of an instance; several are tried in turn" default:"http://127.0.0.1:7001"`
	Timeout   time.Duration `long:"timeout" env:"TIMEOUT" description:"Time for the whole command without --wait" default:"15s"`
}

// maxTimeout bounds a command that nobody watches.
const maxTimeout = 10 * time.Minute

// session is a conversation with one instance.
type session struct {
	*operator.Client
	url string
	// configuration is in force on the instance.
	configuration core.Configuration
}

// connect returns the first instance that answers, with its configuration.
func (s *operatorSettings) connect(ctx context.Context) (session, error) {
	if s.Timeout <= 0 || s.Timeout > maxTimeout {
		return session{}, invalidSetting("--timeout", s.Timeout, "above 0 to "+maxTimeout.String())
	}
	var failures []string
	for i, url := range s.Operators {
		// One silent instance must not use up the time for the others.
		share := s.Timeout / time.Duration(len(s.Operators)+1-i)
		bounded, cancel := context.WithTimeout(ctx, share)
		client := operator.NewClient(url, nil)
		c, err := client.Configuration(bounded)
		cancel()
		if err == nil {
			return session{client, url, c}, nil
		}
		failures = append(failures, url+": "+err.Error())
	}
	return session{}, exit{errors.Errorf("no instance answered; nothing was changed\n  %s\n"+
		"next: check --operators (GORSELINE_OPERATORS) or name another instance", strings.Join(failures, "\n  ")), exitUnavailable}
}

// call connects and calls use within the timeout.
func (s *operatorSettings) call(use func(context.Context, session) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	to, err := s.connect(ctx)
	if err != nil {
		return err
	}
	return use(ctx, to)
}

// unread is the error of a question that was not answered.
func unread(to session, err error) error {
	return exit{errors.Errorf("%s did not answer: %s\nnext: repeat the command, or name another instance with --operators",
		to.url, shortError(err)), exitUnavailable}
}

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

// unknownName is the error of a name that the configuration doesn't have.
func unknownName(what, name string, known []string) error {
	return exit{&core.InvalidValueError{Path: what, Value: name, Accepted: known}, exitInvalid}
}

// readFile reads a document; "-" is the standard input.
func (p *printing) readFile(name flags.Filename) ([]byte, error) {
	if name == "-" {
		return readAll(p.terminal.in)
	}
	data, err := os.ReadFile(string(name))
	if err != nil {
		return nil, exit{errors.Errorf("%v\nnext: name a JSON file, or - for the standard input", err), exitUsage}
	}
	return data, nil
}
