package core

import (
	"context"
	"time"
)

// DutyCall identifies the holder of a duty in a call to the platform.
type DutyCall struct {
	Holder InstanceID
	Fence  Fence
}

// DutyResult is the result of a call to the platform.
type DutyResult uint8

// Results of calls to the platform.
const (
	// DutyUnknown means that there was no answer; the call may have taken effect, or may do so later.
	DutyUnknown DutyResult = iota
	// DutyAccepted means that the call has taken effect.
	DutyAccepted
	// DutyRefused means that the call has not taken effect and may be repeated.
	DutyRefused
	// DutyUnavailable means that there are no servers of the ordered kind in the data centre now.
	DutyUnavailable
)

var dutyResultNames = [...]string{"Unknown", "Accepted", "Refused", "Unavailable"}

// String returns the result's name.
func (r DutyResult) String() string {
	if int(r) < len(dutyResultNames) {
		return dutyResultNames[r]
	}
	return "Invalid"
}

// UsageReporter reports usage to the platform.
type UsageReporter interface {
	// ReportUsage reports the requests that targets began to run in a window, by organisation. The
	// same report may be sent again, one with other counts must not.
	ReportUsage(ctx context.Context, call DutyCall, window uint64, counts map[Organisation]int) DutyResult
}

// ServerOrder sets the number of servers of one kind of a service in a data centre.
type ServerOrder struct {
	Service    Service
	DataCentre DataCentre
	// IsReclaimable is true for servers that the platform may take away at short notice.
	IsReclaimable bool
	Desired       int
}

// ServerOrderer orders servers from the platform.
type ServerOrderer interface {
	// OrderServers sends an order. It may be repeated: the number is absolute.
	OrderServers(ctx context.Context, call DutyCall, order ServerOrder) DutyResult
}

// ScalingLimits bounds the servers of a service and states what they cost.
type ScalingLimits struct {
	// Min and Max bound the servers of both kinds together in each data centre.
	Min, Max int
	// BootTime is the time from an order until a new server serves.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable server as a share of that of a regular one.
	ReclaimablePrice float64
	// Prices holds the price of a regular server by data centre.
	Prices map[DataCentre]float64
}
