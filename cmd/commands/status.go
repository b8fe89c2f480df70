package commands

import (
	"context"
	"fmt"
	"strings"

	"gorseline/io/operator"
)

type statusCommand struct{ operatorSettings }

func init() {
	registerTerminal[statusCommand]("status", "Show instances, targets, roles and the revision in force",
		"Shows the fleet as one instance sees it: the revision and preset in force, the instances without them, all instances, "+
			"targets with their roles, and the totals of requests on the answering instance.")
}

// Execute prints the status.
func (c *statusCommand) Execute([]string) error {
	return c.call(func(ctx context.Context, sess session) error {
		status, err := sess.Status(ctx)
		if err != nil {
			return readError(sess, err)
		}
		return c.print(status, func() { c.table(status) })
	})
}

func (c *statusCommand) table(s operator.Status) {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.Reason
	}
	c.printf("instance %s, %s\n", s.Instance, ready)
	c.printf("revision %d, preset %s\n", s.Revision, s.PresetInForce)
	c.printf("%s\n", inForce{s.InForceOn, s.Of, s.Missing})
	c.printf("holds the leases of shards %s; events lost: %d\n\n", strings.Trim(fmt.Sprint(s.Shards), "[]"), s.EventsLost)
	var instances [][]any
	for _, i := range s.Instances {
		instances = append(instances, []any{i.ID, i.DataCentre, i.Status, i.Address})
	}
	c.rows("INSTANCE DATA-CENTRE STATUS CALLERS-ADDRESS", instances)
	c.printf("\n")
	var targets [][]any
	for _, t := range s.Targets {
		targets = append(targets, []any{t.ID, t.Service, t.DataCentre, t.State, t.Role, t.Model, t.Running, t.Queued, t.InFlight})
	}
	c.rows("TARGET SERVICE DATA-CENTRE STATE ROLE MODEL RUNNING QUEUED IN-FLIGHT", targets)
	if len(s.Account) == 0 {
		return
	}
	c.printf("\n")
	var kinds [][]any
	for _, name := range sortedKeys(s.Account) {
		k := s.Account[name]
		kinds = append(kinds, []any{name, k.Done, k.InTime, k.Refused, k.Cut, k.Unknown, k.Goodput, k.Offered})
	}
	c.rows("KIND DONE IN-TIME REFUSED CUT UNKNOWN GOODPUT OFFERED", kinds)
}
