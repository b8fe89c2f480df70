// Package page draws the time line as one self-contained HTML page.
package page

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
)

//go:embed page.html
var source string

var page = template.Must(template.New("page").Parse(source))

// entry is an event as the page's script reads it.
type entry struct {
	// Ms is the time since the first event, for the position; At is the text.
	Ms       float64
	At       string
	Instance core.InstanceID
	Kind     core.EventKind
	Request  core.RequestID
	Target   core.TargetID
	Reason   core.Reason
	Detail   string
}

// content is what the template shows.
type content struct {
	From, To   string
	Incomplete string
	Lanes      []core.InstanceID
	Kinds      []core.EventKind
	Events     []entry
}

// Write draws events in their order, a lane per instance. incomplete says why events
// may be missing; it may be empty.
func Write(w io.Writer, events []core.Event, incomplete string) error {
	c := content{Incomplete: incomplete, Events: make([]entry, len(events))}
	for i, e := range events {
		at := time.Unix(0, int64(e.At.Wall)).UTC()
		c.Events[i] = entry{
			Ms: float64(e.At.Wall-events[0].At.Wall) / float64(time.Millisecond), At: at.Format("15:04:05.000"),
			Instance: e.Instance, Kind: e.Kind, Request: e.Request, Target: e.Target, Reason: e.Reason, Detail: e.Detail,
		}
		if !slices.Contains(c.Lanes, e.Instance) {
			c.Lanes = append(c.Lanes, e.Instance)
		}
		if !slices.Contains(c.Kinds, e.Kind) {
			c.Kinds = append(c.Kinds, e.Kind)
		}
		c.To = at.Format(time.DateTime)
	}
	if len(events) > 0 {
		c.From = time.Unix(0, int64(events[0].At.Wall)).UTC().Format(time.DateTime)
	}
	slices.Sort(c.Lanes)
	slices.Sort(c.Kinds)
	return errors.Wrap(page.Execute(w, c), "draw the time line")
}
