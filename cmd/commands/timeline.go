package commands

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"gorseline/core"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

type timelineCommand struct {
	operatorSettings
	Request  core.RequestID  `long:"request" env:"TIMELINE_REQUEST" description:"Only events of this request"`
	Target   core.TargetID   `long:"target" env:"TIMELINE_TARGET" description:"Only events of this target"`
	Instance core.InstanceID `long:"instance" env:"TIMELINE_INSTANCE" description:"Only events of this instance"`
	Kind     core.EventKind  `long:"kind" env:"TIMELINE_KIND" description:"Only events of this kind, such as RequestRefused"`
	Fleet    bool            `long:"fleet" env:"TIMELINE_FLEET" description:"Also read the events of other instances from the object store"`
	Limit    int             `long:"limit" env:"TIMELINE_LIMIT" description:"Number of events, the latest ones" default:"1000"`
}

func init() {
	registerTerminal[timelineCommand]("timeline", "Show what happened and why",
		"Shows the decisions of an instance, or of the fleet, in order, each with its reason and its inputs. Other instances "+
			"write their events to the object store every 10 s, so their latest ones are missing with --fleet.")
}

// Execute prints the events.
func (c *timelineCommand) Execute([]string) error {
	if c.Limit < 1 || c.Limit > 10000 {
		return invalidSetting("--limit", c.Limit, "1 to 10000")
	}
	return c.call(func(ctx context.Context, to session) error {
		answer, err := to.Timeline(ctx, operator.TimelineRequest{
			Filter: timeline.Filter{Request: c.Request, Target: c.Target, Instance: c.Instance, Kind: c.Kind},
			Fleet:  c.Fleet, Limit: c.Limit,
		})
		if err != nil {
			return unread(to, err)
		}
		return c.print(answer, func() {
			c.rows("TIME(UTC) INSTANCE KIND REQUEST TARGET REASON DETAIL", eventRows(answer.Events))
			if answer.Incomplete != "" {
				c.printf("incomplete: %s\n", answer.Incomplete)
			}
		})
	})
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
