// Package scaling decides how many servers of each kind a service needs in each data centre.
package scaling

import (
	"time"

	"gorseline/core"
)

// Servers counts the servers of one kind of a service in a data centre.
type Servers struct {
	// Ready is the number of servers that accept work.
	Ready int
	// Leaving is the number of servers that drain, whether they were ordered down or are
	// taken away. They aren't part of Ready.
	Leaving int
	// LeastLeft and GreatestLeft bound the time left to the leaving servers; 0 if unknown.
	LeastLeft, GreatestLeft time.Duration
}

// DataCentreView holds the listed servers of a service in one data centre.
type DataCentreView struct {
	Regular, Reclaimable Servers
}

// View is what a Planner knows about its service.
type View struct {
	DataCentres map[core.DataCentre]DataCentreView
	// PricesKnown is false while the configuration with the prices hasn't been read. No
	// reclaimable servers are ordered then.
	PricesKnown bool
	Limits      core.ScalingLimits
	// Busy is the sum over all servers of the busy share of each.
	Busy float64
	// RefusedShare is the share of the requests since the last plan, from 0 to 1, that were
	// refused for lack of room.
	RefusedShare float64
	// IsChanging is true while servers change their role and can't serve. A fleet without work isn't lowered
	// meanwhile, so that their replacements can serve when work comes.
	IsChanging bool
	// MustStay is the number of servers that must stay because work runs on them; 0 if unknown.
	MustStay int
}

// kind is a kind of servers in a data centre.
type kind struct {
	dataCentre    core.DataCentre
	isReclaimable bool
}
