package propagation

import (
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
)

// Push carries updates to one member and makes it responsible for the members of its data
// centre with keys between After and Before, both exclusive. The key of a member is a hash
// of its ID and the newest revision, so that each revision uses a different tree. A Before
// of 0 means no upper bound. Each forwarded range is smaller than the received one, so
// forwarding terminates.
type Push struct {
	From    membership.Record      `cbor:"1,keyasint"`
	Updates []configuration.Update `cbor:"2,keyasint"`
	After   uint64                 `cbor:"3,keyasint,omitempty"`
	Before  uint64                 `cbor:"4,keyasint,omitempty"`
}

// PushReply holds the revision in force on the receiver after the push.
type PushReply struct {
	Applied core.Revision `cbor:"1,keyasint"`
}

// Pull requests the updates after revision Applied.
type Pull struct {
	From    membership.Record `cbor:"1,keyasint"`
	Applied core.Revision     `cbor:"2,keyasint"`
}

// PullReply holds the updates in order, or one full update. It is empty if there are none.
type PullReply struct {
	Updates []configuration.Update `cbor:"1,keyasint,omitempty"`
}

// StatusRequest requests the revisions in force on members.
type StatusRequest struct {
	// Own limits the reply to the revision of the receiver itself.
	Own bool `cbor:"1,keyasint,omitempty"`
}

// StatusReply holds the revisions in force that members of the receiver's data centre have
// reported to it.
type StatusReply struct {
	Applied map[core.InstanceID]core.Revision `cbor:"1,keyasint"`
}

// CallKind is the kind of a call.
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

// Call is a call that the user of Node must make. It ends with exactly one call of
// HandleResult.
type Call struct {
	Kind    CallKind
	To      membership.Record
	Timeout time.Duration
	Member  membership.Call
	Push    Push
	Pull    Pull
	// After and Until bound the revisions to read for CallUpdates: After is exclusive,
	// Until inclusive.
	After, Until core.Revision
	// fallbacks are the members to retry a failed push with, in order.
	fallbacks []treeMember
	startedAt core.Instant
}

// Result is the outcome of a call. Either Err or the field for the kind of the call is set.
type Result struct {
	Message       membership.Message
	Push          PushReply
	Pull          PullReply
	Head          core.Revision
	Updates       []configuration.Update
	Configuration core.Configuration
	Err           error
}
