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

// LostRequest is a request that a target lost: the connection ended before the answer had really
// begun, as it does when the target crashes.
type LostRequest struct {
	Request RequestID
	// Target is the entry of the target as it was when the request was sent.
	Target Registration
	Traits []Trait
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
	// RecordLost records that a target lost a request.
	RecordLost(LostRequest)
	// RecordSurvived records that a target has survived the beginning of the answer to a request that
	// was sent at a time.
	RecordSurvived(target *Registration, sent Instant, traits []Trait)
}

// FormatTrait returns the ID of a trait as it appears in logs and in the store.
func FormatTrait(id uint64) string { return fmt.Sprintf("%016x", id) }
