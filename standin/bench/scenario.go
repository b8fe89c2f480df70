package bench

import (
	"math"
	"slices"
	"time"

	"gorseline/core"
)

// Shift multiplies the mean lengths of the workloads that have ShiftsLengths set. It applies
// until the next shift.
type Shift struct {
	// From is the start of the shift as a fraction of the scenario's duration.
	From                       float64
	PromptFactor, OutputFactor float64
}

// Outage is a time during which one engine doesn't accept requests. From and To are
// fractions of the scenario's duration.
type Outage struct {
	// Engine is the index of the engine in Deployment.Engines.
	Engine   int
	From, To float64
}

// Scenario describes the load and the faults that a deployment is exposed to.
type Scenario struct {
	Name     string
	Duration time.Duration
	// Load returns the offered load at a fraction of the duration; 1 is the capacity.
	Load func(fraction float64) float64
	// Shifts are ordered by From; the first one starts at 0.
	Shifts []Shift
	// In Crashes an engine crashes at From and restarts at To. In Drains an operator drains
	// an engine at From and returns it to service at To.
	Crashes, Drains []Outage
	// CrashRoleChangeFrom is a fraction of the duration. The first drained engine that
	// begins its role change from then on crashes halfway through the change. 0 means no
	// such crash.
	CrashRoleChangeFrom float64
	// ReportInterval is the time between two load reports of a target, ReportLag the delay
	// until the router receives a report.
	ReportInterval, ReportLag time.Duration
}

// Scenarios returns all scenarios in the order in which the results list them.
func Scenarios() []Scenario {
	base := func(name string, load func(float64) float64) Scenario {
		return Scenario{
			Name: name, Duration: 8 * time.Minute, Load: load, Shifts: []Shift{{PromptFactor: 1, OutputFactor: 1}},
			ReportInterval: time.Second, ReportLag: 100 * time.Millisecond,
		}
	}
	day := base("Day", dayLoad)
	peak := base("Peak", peakLoad)
	swing := base("Swing", constantLoad(0.7))
	swing.Shifts = []Shift{
		{PromptFactor: 1, OutputFactor: 1},
		{From: 1. / 3, PromptFactor: 2.2, OutputFactor: 0.4},
		{From: 2. / 3, PromptFactor: 0.5, OutputFactor: 1.4},
	}
	crash := base("Crash", dayLoad)
	crash.Crashes = []Outage{{Engine: 1, From: 0.25, To: 0.4}, {Engine: 4, From: 0.5, To: 0.65}}
	crash.CrashRoleChangeFrom = 0.05
	stale := base("StaleReports", constantLoad(0.7))
	stale.ReportInterval, stale.ReportLag = 4*time.Second, 8*time.Second
	drained := base("Drained", dayLoad)
	drained.Drains = []Outage{{Engine: 2, From: 0.2, To: 0.7}, {Engine: 6, From: 0.35, To: 0.85}}
	// The longest deadline is 90 s, so requests of the last 90 s can be answered after the
	// last arrival. At 16 minutes this additional time is a tenth of the engines' time, so
	// the offered work still exceeds the capacity in the bound.
	overload := base("Overload", constantLoad(1.2))
	overload.Duration = 16 * time.Minute
	return []Scenario{day, peak, swing, crash, stale, drained, overload}
}

// constantLoad returns a load function with a constant value.
func constantLoad(load float64) func(float64) float64 {
	return func(float64) float64 { return load }
}

// dayLoad varies slowly between 0.6 and 0.7.
func dayLoad(fraction float64) float64 { return 0.65 + 0.05*math.Sin(2*math.Pi*fraction) }

// peakLoad rises from 0.7 to 1.02 within a tenth of the duration, stays there for
// 0.6 of it and falls again.
func peakLoad(fraction float64) float64 {
	const low, high = 0.7, 1.02
	switch {
	case fraction < 0.1 || fraction >= 0.9:
		return low
	case fraction < 0.2:
		return low + (high-low)*(fraction-0.1)/0.1
	case fraction < 0.8:
		return high
	default:
		return high - (high-low)*(fraction-0.8)/0.1
	}
}

// shiftAt returns the shift that applies at a fraction of the duration.
func (s *Scenario) shiftAt(fraction float64) Shift {
	current := s.Shifts[0]
	for _, shift := range s.Shifts {
		if fraction >= shift.From {
			current = shift
		}
	}
	return current
}

// timeAt converts a fraction of the duration to virtual time.
func (s *Scenario) timeAt(fraction float64) core.Instant {
	return core.Instant(fraction * float64(s.Duration))
}

// ScenariosByName looks up scenarios by name; no names select all. It returns a
// core.InvalidValueError for an unknown name.
func ScenariosByName(names []string) ([]Scenario, error) {
	all := Scenarios()
	if len(names) == 0 {
		return all, nil
	}
	var selected []Scenario
	for _, name := range names {
		i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
		if i < 0 {
			var accepted []string
			for j := range all {
				accepted = append(accepted, all[j].Name)
			}
			return nil, &core.InvalidValueError{Path: "scenarios", Value: name, Accepted: accepted}
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}
