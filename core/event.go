package core

import "time"

// Timestamp is a hybrid logical clock reading. It orders events of all processes
// consistently with cause and effect; Wall is only informative between processes.
type Timestamp struct {
	Wall    time.Duration // since the Unix epoch
	Logical uint32
}

// Before reports whether t orders before u.
func (t Timestamp) Before(u Timestamp) bool {
	return t.Wall < u.Wall || t.Wall == u.Wall && t.Logical < u.Logical
}

// EventKind names what happened. The same names appear in metrics and logs.
type EventKind string

// Event is one entry of the time line.
type Event struct {
	At       Timestamp
	Instance InstanceID
	Kind     EventKind
	Request  RequestID `json:",omitempty"`
	Target   TargetID  `json:",omitempty"`
	Reason   Reason    `json:",omitempty"`
	Detail   string    `json:",omitempty"`
}

// Recorder records events. Record never blocks; a full ring drops the oldest
// event and counts it.
type Recorder interface {
	Record(Event)
}
