package bench

import (
	"math"
	"slices"
	"time"

	"gorseline/core"
)

// Shift multiplies the lengths of the kinds that swing.
type Shift struct {
	// From is the start of the shift as a part of the scenario's duration.
	From           float64
	PromptFactor, OutputFactor float64
}

// Outage takes one engine away for a part of the scenario's duration.
type Outage struct {
	Engine   int
	From, To float64
}

// Scenario is what happens to a deployment.
type Scenario struct {
	Name     string
	Duration time.Duration
	// Load is the offered load by part of the duration; 1 is the capacity.
	Load   func(part float64) float64
	Shifts []Shift
	// Crashes are engines that fail at From and are back at To. Drains are engines
	// that an operator withdraws at From and returns at To.
	Crashes, Drains []Outage
	// CrashRoleChangeFrom makes the first role change after this part of the duration
	// fail in the middle; 0 means none.
	CrashRoleChangeFrom float64
	// ReportInterval and ReportLag say how often and how late load reports arrive.
	ReportInterval, ReportLag time.Duration
}

// Scenarios returns the scenarios in the order of the results.
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
	// The longest deadline lets work of the last 90 s be answered after the last
	// arrival. At 16 minutes this tail is a tenth of the engines' time, so that the
	// offered work exceeds what the bound can place.
	overload := base("Overload", constantLoad(1.2))
	overload.Duration = 16 * time.Minute
	return []Scenario{day, peak, swing, crash, stale, drained, overload}
}

func constantLoad(load float64) func(float64) float64 {
	return func(float64) float64 { return load }
}

// dayLoad varies slowly between 0.6 and 0.7.
func dayLoad(part float64) float64 { return 0.65 + 0.05*math.Sin(2*math.Pi*part) }

// peakLoad rises from 0.7 to 1.02 within a tenth of the duration, stays there for
// 0.6 of it and falls again.
func peakLoad(part float64) float64 {
	const low, high = 0.7, 1.02
	switch {
	case part < 0.1 || part >= 0.9:
		return low
	case part < 0.2:
		return low + (high-low)*(part-0.1)/0.1
	case part < 0.8:
		return high
	default:
		return high - (high-low)*(part-0.8)/0.1
	}
}

// shiftAt returns the lengths in force at a part of the duration.
func (s *Scenario) shiftAt(part float64) Shift {
	current := s.Shifts[0]
	for _, shift := range s.Shifts {
		if part >= shift.From {
			current = shift
		}
	}
	return current
}

func (s *Scenario) moment(part float64) core.Instant {
	return core.Instant(part * float64(s.Duration))
}

// ScenariosByName looks up scenarios by name; no names give all.
func ScenariosByName(names []string) ([]Scenario, error) {
	all := Scenarios()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []Scenario
	for _, name := range names {
		i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
		if i < 0 {
			var accepted []string
			for j := range all {
				accepted = append(accepted, all[j].Name)
			}
			return nil, &core.InvalidValueError{Path: "scenarios", Value: name, Accepted: accepted}
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}
