package commands

import (
	"context"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"gorseline/cmd/report"
	"gorseline/core"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
	"gorseline/io/operator"
)

type reportCommand struct {
	operatorSettings
	rangeSettings
	Out flags.Filename `long:"out" env:"REPORT_OUT" description:"Directory for the plots; it is created if it doesn't exist" required:"yes"`
}

func init() {
	registerTerminal[reportCommand]("report", "Plot goodput, mix and roles over time",
		"Reads the timeline of the fleet and plots goodput, the mix of prompt and output tokens, and the roles of engines "+
			"as "+strings.Join(report.FileNames, ", ")+".")
}

const (
	// reportPageSize is the number of events per call.
	reportPageSize = 10000
	// maxReportPages limits a report to 200,000 events of a kind.
	maxReportPages = 20
)

// Execute draws the plots.
func (c *reportCommand) Execute([]string) error {
	now := timeline.WallTime()
	from, to, err := c.bounds(now)
	if err != nil {
		return err
	}
	if to == 0 {
		to = now
	}
	filter := timeline.Filter{From: from, To: to}
	return c.call(func(ctx context.Context, sess session) error {
		ended, err := c.read(ctx, sess, filter, dispatch.EventFinished, dispatch.EventRefused)
		if err != nil {
			return err
		}
		changes, err := c.read(ctx, sess, timeline.Filter{From: from}, "RoleChangePlanned", "OrderApplied")
		if err != nil {
			return err
		}
		status, err := sess.Status(ctx)
		if err != nil {
			return readError(sess, err)
		}
		roles := map[core.TargetID]core.Role{}
		for _, t := range status.Targets {
			if t.Role != core.RoleNone {
				roles[t.ID] = t.Role
			}
		}
		if err := os.MkdirAll(string(c.Out), 0o755); err != nil {
			return failure{err}
		}
		if err := report.Draw(string(c.Out), report.Points(ended), report.RoleHistory(changes, roles), to); err != nil {
			return failure{err}
		}
		c.printf("%d requests and %d role events in %s\n", len(ended), len(changes), c.Out)
		return nil
	})
}

// read returns the events of some kinds, in order of time. It reads pages from the newest to
// the oldest. Consecutive pages share the events at their boundary, which Merge deduplicates.
func (c *reportCommand) read(ctx context.Context, sess session, filter timeline.Filter, kinds ...core.EventKind) ([]core.Event, error) {
	var pages [][]core.Event
	for _, kind := range kinds {
		next := filter
		next.Kind = kind
		for range maxReportPages {
			answer, err := sess.Timeline(ctx, operator.TimelineRequest{Filter: next, Fleet: true, Limit: reportPageSize})
			if err != nil {
				return nil, readError(sess, err)
			}
			if answer.Incomplete != "" {
				_, _ = c.terminal.err.Write([]byte("incomplete: " + answer.Incomplete + "\n"))
			}
			pages = append(pages, answer.Events)
			if len(answer.Events) < reportPageSize {
				break
			}
			oldest := answer.Events[0].At.Wall
			if oldest == next.To {
				return nil, failure{errors.Errorf("more than %d events at one time", reportPageSize)}
			}
			next.To = oldest
		}
	}
	return timeline.Merge(pages...), nil
}
