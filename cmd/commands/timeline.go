package commands

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"gorseline/cmd/page"
	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

// rangeSettings are the settings for the time range of events.
type rangeSettings struct {
	Since time.Duration `long:"since" env:"SINCE" description:"Only events of this last period, such as 10m; 0 has no bound"`
	Until time.Duration `long:"until" env:"UNTIL" description:"Only events older than this, such as 5m; 0 has no bound"`
}

// bounds returns the range as durations since the Unix epoch; 0 means no bound.
func (s rangeSettings) bounds(now time.Duration) (from, to time.Duration, err error) {
	if s.Since < 0 || s.Until < 0 {
		return 0, 0, invalidSetting("--since, --until", min(s.Since, s.Until), "0s or more")
	}
	if s.Since > 0 && s.Until >= s.Since {
		return 0, 0, invalidSetting("--until", s.Until, "less than --since")
	}
	if s.Since > 0 {
		from = now - s.Since
	}
	if s.Until > 0 {
		to = now - s.Until
	}
	return from, to, nil
}

type timelineCommand struct {
	operatorSettings
	rangeSettings
	Request  core.RequestID  `long:"request" env:"TIMELINE_REQUEST" description:"Only events of this request"`
	Target   core.TargetID   `long:"target" env:"TIMELINE_TARGET" description:"Only events of this target"`
	Instance core.InstanceID `long:"instance" env:"TIMELINE_INSTANCE" description:"Only events of this instance"`
	Kind     core.EventKind  `long:"kind" env:"TIMELINE_KIND" description:"Only events of this kind, such as RequestRefused"`
	Fleet    bool            `long:"fleet" env:"TIMELINE_FLEET" description:"Also read the events of other instances from the object store"`
	Limit    int             `long:"limit" env:"TIMELINE_LIMIT" description:"Number of events, the latest ones" default:"1000"`
	HTML     flags.Filename  `long:"html" env:"TIMELINE_HTML" description:"Write the events as an HTML page to this file"`
}

func init() {
	registerTerminal[timelineCommand]("timeline", "Show what happened and why",
		"Shows the decisions of an instance, or of the fleet, in order of time, each with its reason and its inputs. Other "+
			"instances write their events to the object store every 10 s, so with --fleet their latest ones are missing.")
}

// Execute prints the events, or writes them as a page.
func (c *timelineCommand) Execute([]string) error {
	if c.Limit < 1 || c.Limit > 10000 {
		return invalidSetting("--limit", c.Limit, "1 to 10000")
	}
	filter := timeline.Filter{Request: c.Request, Target: c.Target, Instance: c.Instance, Kind: c.Kind}
	var err error
	if filter.From, filter.To, err = c.bounds(timeline.WallTime()); err != nil {
		return err
	}
	return c.call(func(ctx context.Context, sess session) error {
		answer, err := sess.Timeline(ctx, operator.TimelineRequest{Filter: filter, Fleet: c.Fleet, Limit: c.Limit})
		if err != nil {
			return readError(sess, err)
		}
		if c.HTML != "" {
			return c.writePage(answer)
		}
		return c.print(answer, func() {
			c.rows("TIME(UTC) INSTANCE KIND REQUEST TARGET REASON DETAIL", eventRows(answer.Events))
			if answer.Incomplete != "" {
				c.printf("incomplete: %s\n", answer.Incomplete)
			}
		})
	})
}

// writePage writes the events as an HTML page.
func (c *timelineCommand) writePage(answer operator.TimelineAnswer) error {
	var b bytes.Buffer
	err := page.Write(&b, answer.Events, answer.Incomplete)
	if err == nil {
		err = os.WriteFile(string(c.HTML), b.Bytes(), 0o644)
	}
	if err != nil {
		return failure{err}
	}
	c.printf("%d events in %s\n", len(answer.Events), c.HTML)
	return nil
}

func eventRows(events []core.Event) [][]any {
	rows := make([][]any, len(events))
	for i, e := range events {
		rows[i] = []any{eventTime(e), e.Instance, e.Kind, e.Request, e.Target, e.Reason, e.Detail}
	}
	return rows
}

func eventTime(e core.Event) string {
	return time.Unix(0, int64(e.At.Wall)).UTC().Format("15:04:05.000")
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
