package commands

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"gorseline/io/logline"
)

type explainCommand struct {
	terminal terminal
	Request  string `long:"request" description:"ID of the request to explain; without it, a summary of outcomes and reasons is printed"`
	Around   bool   `long:"around" description:"Also show the events without a request that the same instances logged while it ran"`
	Retries  bool   `long:"retries" description:"Print the retries of all instances together, by service and cause, in the window with the most"`
	Files    struct {
		Logs []string `positional-arg-name:"LOG" description:"Log files of all instances; without any, the standard input is read"`
	} `positional-args:"yes"`
}

func init() {
	registerTerminal[explainCommand]("explain", "Explain a forwarded request from the logs",
		"Reads the log lines of instances that forward requests, and prints those of one request in order of time, or a "+
			"summary of refusals and failures by route and reason.")
}

func (c *explainCommand) setTerminal(t terminal) { c.terminal = t }

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Execute reads the logs and explains a request, or summarises all of them.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.read()
	if err != nil {
		return failure{err}
	}
	slices.SortStableFunc(lines, func(a, b logline.Line) int { return a.Time.Compare(b.Time) })
	if c.Retries {
		c.printRetries(lines)
		return nil
	}
	if c.Request == "" {
		c.summarize(lines)
		return nil
	}
	return c.explain(lines)
}

// read parses the log files, or the standard input without any.
func (c *explainCommand) read() ([]logline.Line, error) {
	if len(c.Files.Logs) == 0 {
		return scan(c.terminal.in, nil)
	}
	var lines []logline.Line
	for _, path := range c.Files.Logs {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		lines, err = scan(file, lines)
		_ = file.Close() // errors don't matter for a file that was only read
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", path)
		}
	}
	return lines, nil
}

// scan appends the log lines of r to lines. Other lines are skipped.
func scan(r io.Reader, lines []logline.Line) ([]logline.Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := logline.Parse(scanner.Text()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "read log")
}

// explain prints the events of one request, and how it ended.
func (c *explainCommand) explain(lines []logline.Line) error {
	first, last := -1, -1
	instances := map[string]bool{}
	for i := range lines {
		if lines[i].Get("Request") != c.Request {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		instances[lines[i].Instance] = true
	}
	if first < 0 {
		return failure{errors.Errorf("no line of request %s", c.Request)}
	}
	start := lines[first].Time
	for i := first; i <= last; i++ {
		l := &lines[i]
		ofRequest := l.Get("Request") == c.Request
		concurrent := c.Around && instances[l.Instance] && l.Get("Request") == ""
		if !ofRequest && !concurrent {
			continue
		}
		mark := " "
		if !ofRequest {
			mark = "|"
		}
		fmt.Fprintf(c.terminal.out, "%8.3f s %s %s %s%s\n", l.Time.Sub(start).Seconds(), mark, l.Instance, l.Event, fieldText(l))
	}
	fmt.Fprintf(c.terminal.out, "\n%s\n", endText(lines[first:last+1], c.Request))
	return nil
}

// fieldText formats the fields of a line, without empty ones and the request ID.
func fieldText(l *logline.Line) string {
	var b strings.Builder
	for _, f := range l.Fields {
		if f.Name == "Request" || f.Value == "" {
			continue
		}
		b.WriteString(" " + f.Name + "=" + f.Value)
	}
	return b.String()
}

// reasonTexts explains the reasons that RequestEnded and EngineSilent give.
var reasonTexts = map[string]string{
	"Answered":         "a target answered",
	"Backlog":          "refused at once: on each engine the prompts ahead of it would have made the first token late",
	"NoTarget":         "refused at once: the registry lists no usable target with free capacity",
	"NoSlot":           "refused at once: no engine that generates has a slot free for an answer of this kind",
	"ConcurrencyLimit": "refused at once: all targets are at their limit of running and queued requests",
	"TargetsRefused":   "refused: each target that was tried reported that it did not run the request",
	"Leaving":          "refused or not repeated: this instance leaves, and the request may take longer than the time that is left",
	"Stopped":          "ended: the grace period of this instance was over; if it had been sent, it may have run",
	"RetryBudget":      "abandoned: another send would have exceeded the retry budget that all instances share",
	"NoConfiguration":  "refused: the instance had not received a configuration yet",
	"NoRoute":          "rejected: no route of the configuration in force matches host and path",
	"NoAnswer":         "failed: the target gave no answer; the request may have run",
	"Timeout":          "failed: the deadline of the caller or the route passed; the request may have run",
	"AnswerBroken":     "failed: the target's answer ended before it was complete",
	"NotResumable":     "the stream can't be continued on another engine: its route or its last event doesn't allow it",
	"Attempts":         "the stream can't be continued on another engine: the attempts of its route are used up",
	"CallerLeft":       "the caller closed its connection first",
	"Malformed":        "rejected: the request is malformed",
	"MemoryShort":      "refused before it was sent: the bodies held here reach the memory that is for them (IntakeBytes)",
	"BodyTooSlow":      "rejected: the body arrived more slowly than --body-stall or --body-rate allow",
	"BodyTooLarge":     "rejected: the body is larger than the configuration allows",
	"KeyMissing":       "rejected: it has no API key, and its route isn't public",
	"KeyMalformed":     "rejected: its credentials are not one bearer key",
	"KeyUnknown":       "rejected: no recent configuration has its API key; KeyHash is the start of the key's hash",
	"KeyDropped":       "rejected: the configuration of version DroppedIn has dropped its API key",
	"KeyUnconfirmed":   "refused at once: its API key isn't known, and a newer configuration may have it",

	"TargetLimit":          "refused at once: the targets that could serve it state limits, and this instance's share of them is used up",
	"PartQuarantined":      "refused at once: its prompt has a part that crashes engines; the lines PartJudged and PartQuarantined name the evidence",
	"RequestQuarantined":   "refused at once: such a request crashes targets; the lines RequestJudged and RequestQuarantined with its Fingerprint name the evidence",
	"TargetsUnreached":     "refused at once: the instance reaches no target of the service; the lines TargetsUnreached and TargetsReached say since when",
	"TargetsPaused":        "refused at once: all targets that could serve it have asked for a pause; the lines TargetPaused name them",
	"StaleConfiguration":   "refused to another instance, which has a newer configuration and asks a third one",
	"Suspect":              "the stream can't be continued on another engine: several were lost under such a request or a part of its prompt",
	"StreamVersionUnknown": "refused at once: it isn't known at which software version the stream began that the request continues",
	"NoEngineOfVersion":    "refused at once: no engine of the software version at which the stream began is ready",
}

// endText describes in one line how a request ended.
func endText(lines []logline.Line, request string) string {
	for i := range slices.Backward(lines) {
		l := &lines[i]
		if l.Event != "RequestEnded" || l.Get("Request") != request {
			continue
		}
		meaning, ok := reasonTexts[l.Get("Reason")]
		if !ok {
			meaning = l.Get("Reason")
		}
		return fmt.Sprintf("Ended %s with status %s after %s ms, %s sends, %s runs: %s.",
			l.Get("Outcome"), l.Get("Status"), l.Get("TookMs"), l.Get("Sends"), l.Get("Runs"), meaning)
	}
	return "The logs don't show its end: the instance was killed, or the line is among those that LinesLeftOut counts."
}

// summaryKey groups requests by how they ended.
type summaryKey struct{ route, outcome, reason string }

// summarize prints the number of requests per group, and the ID of the first one.
func (c *explainCommand) summarize(lines []logline.Line) {
	counts, example := map[summaryKey]int{}, map[summaryKey]string{}
	for i := range lines {
		l := &lines[i]
		if l.Event != "RequestEnded" {
			continue
		}
		key := summaryKey{l.Get("Route"), l.Get("Outcome"), l.Get("Reason")}
		if counts[key]++; counts[key] == 1 {
			example[key] = l.Get("Request")
		}
	}
	keys := make([]summaryKey, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b summaryKey) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.route+a.outcome+a.reason, b.route+b.outcome+b.reason))
	})
	fmt.Fprintf(c.terminal.out, "%8s  %-20s %-10s %-18s %s\n", "Requests", "Route", "Outcome", "Reason", "First")
	for _, key := range keys {
		fmt.Fprintf(c.terminal.out, "%8d  %-20s %-10s %-18s %s\n", counts[key], key.route, key.outcome, key.reason, example[key])
	}
}
