// Package report plots goodput, the mix of tokens and the roles of engines from the events
// of the timeline.
package report

import (
	"regexp"
	"slices"
	"strconv"
	"time"

	"gorseline/core"
	"gorseline/core/dispatch"
	"gorseline/core/timeline"
)

// Point holds the rates of one interval, per second.
type Point struct {
	At time.Duration // since the Unix epoch
	// Offered is the weight of all requests that ended, Goodput that of the requests answered
	// in time.
	Offered, Goodput float64
	// Prompt and Output are the tokens of the requests that finished.
	Prompt, Output float64
}

// maxIntervals is the approximate limit of the intervals of a report: their length is rounded
// to whole seconds.
const maxIntervals = 120

// Points returns the rates of the requests that ended, by interval. Events are in order of
// time.
func Points(events []core.Event) []Point {
	if len(events) == 0 {
		return nil
	}
	first, last := events[0].At.Wall, events[len(events)-1].At.Wall
	step := max(time.Second, (last-first)/maxIntervals).Round(time.Second)
	points := make([]Point, (last-first)/step+1)
	for i := range points {
		points[i].At = first + time.Duration(i)*step
	}
	for _, e := range events {
		p := &points[(e.At.Wall-first)/step]
		inputs := timeline.ParseInputs(e.Detail)
		weight := parseNumber(inputs["Weight"]) / step.Seconds()
		p.Offered += weight
		if e.Kind != dispatch.EventFinished {
			continue
		}
		if inputs["InTime"] == "true" {
			p.Goodput += weight
		}
		p.Prompt += parseNumber(inputs["PromptTokens"]) / step.Seconds()
		p.Output += parseNumber(inputs["OutputTokens"]) / step.Seconds()
	}
	return points
}

// parseNumber returns 0 for a text that is not a number.
func parseNumber(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return x
}

// RoleCounts is the number of engines in each role from a time on.
type RoleCounts struct {
	At    time.Duration // since the Unix epoch; 0 in the first one
	Count map[core.Role]int
}

// appliedRole matches the role in the detail of an applied order.
var appliedRole = regexp.MustCompile(`\brole (\w+)`)

// RoleHistory returns the role counts over time, oldest first. It starts from the current
// roles and undoes the applied role changes backwards. Events are planned changes and
// applied orders, in order of time.
func RoleHistory(events []core.Event, current map[core.TargetID]core.Role) []RoleCounts {
	type change struct {
		at       time.Duration
		from, to core.Role
	}
	var changes []change
	roles := map[core.TargetID]core.Role{}
	for _, e := range events {
		var from, to core.Role
		if inputs := timeline.ParseInputs(e.Detail); inputs["From"] != "" {
			if from.UnmarshalText([]byte(inputs["From"])) == nil {
				roles[e.Target] = from
			}
			continue
		}
		match := appliedRole.FindStringSubmatch(e.Detail)
		from, planned := roles[e.Target]
		if !planned || match == nil || to.UnmarshalText([]byte(match[1])) != nil || from == to {
			continue
		}
		changes = append(changes, change{e.At.Wall, from, to})
		roles[e.Target] = to
	}
	count := map[core.Role]int{}
	for _, role := range current {
		count[role]++
	}
	var list []RoleCounts
	for _, c := range slices.Backward(changes) {
		list = append(list, RoleCounts{c.at, nonZero(count)})
		count[c.to]--
		count[c.from]++
	}
	list = append(list, RoleCounts{0, nonZero(count)})
	slices.Reverse(list)
	return list
}

// nonZero returns a copy of the counts without the roles that no engine has.
func nonZero(count map[core.Role]int) map[core.Role]int {
	c := map[core.Role]int{}
	for role, n := range count {
		if n != 0 {
			c[role] = n
		}
	}
	return c
}
