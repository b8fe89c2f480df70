package core

import "fmt"

// TraitKind is the kind of a trait.
type TraitKind uint8

// Kinds of traits.
const (
	// TraitPart is a part of a prompt that other requests may share.
	TraitPart TraitKind = iota
	// TraitRequest is the whole request: its method, path, caller and body.
	TraitRequest
)

// Trait is a property of a request that may be what crashes the targets that run it.
type Trait struct {
	Kind TraitKind
	// ID identifies the part, or is the fingerprint of the request.
	ID uint64
}

// TargetRun is one run of a request at a target.
type TargetRun struct {
	Request RequestID
	// Target is the entry of the target as it was when the request was sent.
	Target Registration
	Traits []Trait
	Sent   Instant
	// EndsWithConnection is set if the end of the answer can't be told from that of its target.
	EndsWithConnection bool
}

// Quarantine keeps requests from targets that have a trait that crashes them. The last part of a
// prompt belongs to one request or session and is no trait of its own.
type Quarantine interface {
	// Quarantined returns the index of the first quarantined trait, or false. It doesn't block.
	Quarantined([]Trait) (index int, ok bool)
	// TakeProbe reports whether a request with a quarantined trait may be sent once, to find out
	// whether the trait still crashes targets.
	TakeProbe([]Trait) bool
	// IsSuspect reports whether several targets were lost under requests with one of the traits, and
	// none is known to have survived one.
	IsSuspect([]Trait) bool
	// RecordAlive records that a target has begun to answer a request that was sent at a time.
	RecordAlive(target *Registration, sent Instant)
	// RecordLost records that a connection ended before the answer was complete, as it does when the
	// target crashes.
	RecordLost(*TargetRun)
	// RecordSurvived records a complete answer.
	RecordSurvived(*TargetRun)
	// RecordStopped records a run that ended otherwise and says nothing about its traits.
	RecordStopped(*TargetRun)
}

// FormatTrait returns the ID of a trait as it appears in logs and in the store.
func FormatTrait(id uint64) string { return fmt.Sprintf("%016x", id) }
