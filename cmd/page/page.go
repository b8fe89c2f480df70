// Package page renders a timeline as a self-contained HTML page.
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
var templateSource string

var pageTemplate = template.Must(template.New("page").Parse(templateSource))

// pageEvent is the form of an event that the page's script reads. The script uses the field
// names.
type pageEvent struct {
	// Ms is the time since the first event in milliseconds, which gives the position.
	Ms float64
	// At is the time of day that is shown, in UTC.
	At       string
	Instance core.InstanceID
	Kind     core.EventKind
	Request  core.RequestID
	Target   core.TargetID
	Reason   core.Reason
	Detail   string
}

// content is the data of the template.
type content struct {
	From, To   string
	Incomplete string
	// Lanes are the instances, one lane each.
	Lanes  []core.InstanceID
	Kinds  []core.EventKind
	Events []pageEvent
}

// Write renders events, which are sorted by time, in one lane per instance. incomplete is the
// reason why events may be missing; it is empty if none are.
func Write(w io.Writer, events []core.Event, incomplete string) error {
	c := content{Incomplete: incomplete, Events: make([]pageEvent, len(events))}
	for i, e := range events {
		at := time.Unix(0, int64(e.At.Wall)).UTC()
		c.Events[i] = pageEvent{
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
	return errors.Wrap(pageTemplate.Execute(w, c), "render the timeline")
}
