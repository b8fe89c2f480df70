// Package report draws what the time line tells about goodput, the mix of work and
// the roles of engines.
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

// Point is the work of one interval, per second.
type Point struct {
	At time.Duration // since the Unix epoch
	// Offered and Goodput are in weight.
	Offered, Goodput float64
	// Prompt and Output are in tokens of the requests that ended.
	Prompt, Output float64
}

// intervals is the number of intervals that a report has at most.
const intervals = 120

// Points sums the requests that ended, by interval. Events are in order.
func Points(events []core.Event) []Point {
	if len(events) == 0 {
		return nil
	}
	first, last := events[0].At.Wall, events[len(events)-1].At.Wall
	step := max(time.Second, (last-first)/intervals).Round(time.Second)
	points := make([]Point, (last-first)/step+1)
	for i := range points {
		points[i].At = first + time.Duration(i)*step
	}
	for _, e := range events {
		p := &points[(e.At.Wall-first)/step]
		in := timeline.ParseInputs(e.Detail)
		weight := number(in["Weight"]) / step.Seconds()
		p.Offered += weight
		if e.Kind != dispatch.EventFinished {
			continue
		}
		if in["InTime"] == "true" {
			p.Goodput += weight
		}
		p.Prompt += number(in["PromptTokens"]) / step.Seconds()
		p.Output += number(in["OutputTokens"]) / step.Seconds()
	}
	return points
}

func number(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return x
}

// RoleCounts is the number of engines in each role from a time on.
type RoleCounts struct {
	At    time.Duration
	Count map[core.Role]int
}

var appliedRole = regexp.MustCompile(`\brole (\w+)`)

// RoleHistory follows the applied role changes back from the roles that engines have
// now. Events are planned changes and applied orders, in order.
func RoleHistory(events []core.Event, now map[core.TargetID]core.Role) []RoleCounts {
	type change struct {
		at       time.Duration
		from, to core.Role
	}
	var changes []change
	before := map[core.TargetID]core.Role{}
	for _, e := range events {
		var from, to core.Role
		if in := timeline.ParseInputs(e.Detail); in["From"] != "" {
			if from.UnmarshalText([]byte(in["From"])) == nil {
				before[e.Target] = from
			}
			continue
		}
		match := appliedRole.FindStringSubmatch(e.Detail)
		from, planned := before[e.Target]
		if !planned || match == nil || to.UnmarshalText([]byte(match[1])) != nil || from == to {
			continue
		}
		changes = append(changes, change{e.At.Wall, from, to})
		before[e.Target] = to
	}
	count := map[core.Role]int{}
	for _, role := range now {
		count[role]++
	}
	var list []RoleCounts
	for _, c := range slices.Backward(changes) {
		list = append(list, RoleCounts{c.at, clone(count)})
		count[c.to]--
		count[c.from]++
	}
	list = append(list, RoleCounts{0, clone(count)})
	slices.Reverse(list)
	return list
}

func clone(count map[core.Role]int) map[core.Role]int {
	c := map[core.Role]int{}
	for role, n := range count {
		if n != 0 {
			c[role] = n
		}
	}
	return c
}
