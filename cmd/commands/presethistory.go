package commands

import (
	"context"
	"time"

	"gorseline/core"
	"gorseline/io/operator"
)

type presetHistoryCommand struct {
	operatorSettings
	Limit  int           `long:"limit" env:"HISTORY_LIMIT" description:"Number of revisions, at most 200" default:"20"`
	Newest core.Revision `long:"newest" env:"HISTORY_NEWEST" description:"Newest revision to list; 0 is the newest of all"`
}

func init() {
	registerTerminal[presetHistoryCommand]("preset history", "List accepted changes",
		"Lists the accepted revisions, newest first: who changed what and why, and the preset in force since then. It reads the "+
			"table service, so it also shows whether a change whose answer was lost has been accepted.")
}

// Execute prints the revisions.
func (c *presetHistoryCommand) Execute([]string) error {
	if c.Limit < 1 || c.Limit > 200 {
		return invalidSetting("--limit", c.Limit, "1 to 200")
	}
	return c.call(func(ctx context.Context, sess session) error {
		answer, err := sess.History(ctx, operator.HistoryRequest{Newest: c.Newest, Limit: c.Limit})
		if err != nil {
			return readError(sess, err)
		}
		return c.print(answer.Revisions, func() {
			var table [][]any
			for _, h := range answer.Revisions {
				table = append(table, []any{h.Revision, h.At.UTC().Format(time.DateTime), h.Operator, h.PresetInForce, h.Change, h.Attempt, h.Note})
			}
			c.rows("REVISION AT(UTC) OPERATOR PRESET CHANGE ATTEMPT NOTE", table)
		})
	})
}
