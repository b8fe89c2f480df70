package membership

import (
	"time"

	"gorseline/core"
)

// Status is the state of a member in the view of an instance. Of two records with the same
// incarnation the one with the greater status takes precedence.
type Status uint8

// Statuses in the order in which they override each other.
const (
	StatusAlive Status = iota
	StatusSuspect
	// StatusLeaving is announced by the member itself.
	StatusLeaving
	StatusDead
)

var statusNames = [...]string{"Alive", "Suspect", "Leaving", "Dead"}

// String returns the name of the status.
func (s Status) String() string { return statusNames[min(int(s), len(statusNames)-1)] }

// MarshalText encodes the status as its name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Record describes one member. A record with an empty ID describes whether a whole data
// centre is reachable; it is not sent to other data centres.
type Record struct {
	ID         core.InstanceID `cbor:"1,keyasint,omitempty"`
	Address    string          `cbor:"2,keyasint,omitempty"`
	DataCentre core.DataCentre `cbor:"3,keyasint,omitempty"`
	Status     Status          `cbor:"4,keyasint,omitempty"`
	// Incarnation is increased only by the member itself, to refute a suspicion or to
	// rejoin. That of a data centre is increased by the delegates.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	// Callers is the address for callers. It is empty if that is Address, and for a member
	// that is known only from the platform's list.
	Callers string `cbor:"6,keyasint,omitempty"`
	// Capacity is the member's share of callers relative to others, in hundredths of a
	// machine with a whole core; 0 counts as 100.
	Capacity uint32 `cbor:"7,keyasint,omitempty"`
}

// CallerAddress returns the address that callers use.
func (r Record) CallerAddress() string {
	if r.Callers != "" {
		return r.Callers
	}
	return r.Address
}

func (r Record) isDataCentre() bool { return r.ID == "" }

// overrides reports whether r replaces old.
func (r Record) overrides(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Status > old.Status
}

// Message is the body of probes, indirect probes and digests and of their
// replies. Unused fields are not encoded.
type Message struct {
	// From is the record of the sender. A reply omits the address and the data centre,
	// which the caller knows.
	From Record `cbor:"1,keyasint"`
	// Applied is the configuration revision in force on the sender.
	Applied core.Revision `cbor:"2,keyasint,omitempty"`
	// Head is the newest accepted revision that the sender knows of, and HeadAgeMs the
	// time since the last poll of the head row that it knows of, in milliseconds. Head
	// is 0 if the sender knows of no poll.
	Head      core.Revision `cbor:"3,keyasint,omitempty"`
	HeadAgeMs uint32        `cbor:"4,keyasint,omitempty"`
	// View is a hash over the sender's records.
	View    uint32   `cbor:"5,keyasint,omitempty"`
	Updates []Record `cbor:"6,keyasint,omitempty"`
	// Target and Address identify the member that an indirect probe checks; Reached is the
	// result in the reply.
	Target  core.InstanceID `cbor:"7,keyasint,omitempty"`
	Address string          `cbor:"8,keyasint,omitempty"`
	Reached bool            `cbor:"9,keyasint,omitempty"`
	// Hashes holds a hash per data centre in digests. Want requests the records of the
	// data centres whose hashes differ; the reply has them in Members.
	Hashes  map[core.DataCentre]uint64 `cbor:"10,keyasint,omitempty"`
	Want    bool                       `cbor:"11,keyasint,omitempty"`
	Members []Record                   `cbor:"12,keyasint,omitempty"`
	// Complete means that Members holds all members of the sender's data centre.
	Complete bool `cbor:"13,keyasint,omitempty"`
}

// CallKind is the kind of a call between instances.
type CallKind uint8

// Kinds of calls of this package.
const (
	CallProbe CallKind = iota
	CallIndirectProbe
	CallDigest
)

// Call is a call to another instance that the user of Protocol must make. It ends with
// exactly one call of HandleReply or HandleFailure.
type Call struct {
	Kind    CallKind
	To      Record
	Message Message
	Timeout time.Duration
	// target is the member that a direct or indirect probe checks. epoch is the epoch of
	// the protocol at the start of the call, which identifies calls from before a pause.
	target core.InstanceID
	epoch  uint64
	// ignoreFailure marks a call whose failure does not lead to a suspicion.
	ignoreFailure bool
}
