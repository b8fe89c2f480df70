package core

import "time"

// Timestamp is a reading of a hybrid logical clock. Timestamps order the events of all
// processes consistently with causality. The wall clocks of two processes may differ, so
// Wall alone doesn't order their events.
type Timestamp struct {
	Wall    time.Duration // since the Unix epoch
	Logical uint32
}

// Before reports whether t orders before u.
func (t Timestamp) Before(u Timestamp) bool {
	return t.Wall < u.Wall || t.Wall == u.Wall && t.Logical < u.Logical
}

// EventKind names a type of event. The same names appear in metrics and logs.
type EventKind string

// Event is one entry of the timeline.
type Event struct {
	At       Timestamp
	Instance InstanceID
	Kind     EventKind
	Request  RequestID `json:",omitempty"`
	Target   TargetID  `json:",omitempty"`
	Reason   Reason    `json:",omitempty"`
	Detail   string    `json:",omitempty"`
}

// Recorder records events. Record never blocks: when the buffer is full, it drops and
// counts the oldest event.
type Recorder interface {
	Record(Event)
}
