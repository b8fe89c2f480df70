package propagation

import (
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
)

// Push carries updates to one member and makes it responsible for the members of
// its data centre with keys between After and Before, both excluded. The key of a
// member is a hash of its ID and the newest revision, so that each revision has
// another tree. A Before of 0 is open. Ranges only shrink, so a push ends.
type Push struct {
	From    membership.Record      `cbor:"1,keyasint"`
	Updates []configuration.Update `cbor:"2,keyasint"`
	After   uint64                 `cbor:"3,keyasint,omitempty"`
	Before  uint64                 `cbor:"4,keyasint,omitempty"`
}

// PushReply says which revision is now in force on the receiver.
type PushReply struct {
	Applied core.Revision `cbor:"1,keyasint"`
}

// Pull asks for everything after a revision.
type Pull struct {
	From    membership.Record `cbor:"1,keyasint"`
	Applied core.Revision     `cbor:"2,keyasint"`
}

// PullReply holds the updates in order, or one full update.
type PullReply struct {
	Updates []configuration.Update `cbor:"1,keyasint,omitempty"`
}

// StatusRequest asks for revisions in force.
type StatusRequest struct {
	// Own asks only for the receiver's own revision.
	Own bool `cbor:"1,keyasint,omitempty"`
}

// StatusReply holds the revisions in force on members of the receiver's data
// centre, as far as they have told it.
type StatusReply struct {
	Applied map[core.InstanceID]core.Revision `cbor:"1,keyasint"`
}

// CallKind names what a call needs.
type CallKind uint8

// Kinds of calls. The first three go to instances, the others to the store.
const (
	CallMember CallKind = iota
	CallPush
	CallPull
	CallHead
	CallUpdates
	CallLoad
)

// Call is a call that the caller of the state machine must make. It ends with
// exactly one call of Done.
type Call struct {
	Kind    CallKind
	To      membership.Record
	Timeout time.Duration
	Member  membership.Call
	Push    Push
	Pull    Pull
	// After and Until are the revisions to read for CallUpdates.
	After, Until core.Revision
	// others are the members that can take over a push that fails.
	others []leaf
	began  core.Instant
}

// Result is the outcome of a call. The field of the call's kind is set unless
// Err is.
type Result struct {
	Message       membership.Message
	Push          PushReply
	Pull          PullReply
	Head          core.Revision
	Updates       []configuration.Update
	Configuration core.Configuration
	Err           error
}
