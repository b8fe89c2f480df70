package core

import "fmt"

// LostRequest is a request that a target lost: the connection ended before the answer had really
// begun, as it does when the target crashes.
type LostRequest struct {
	Request RequestID
	// Target is the entry of the target as it was when the request was sent.
	Target Registration
	Prompt *Prompt
}

// PartQuarantine keeps requests from engines whose prompts have a part that crashes engines. The last
// part of a prompt belongs to one request or session and is never quarantined.
type PartQuarantine interface {
	// QuarantinedPart returns the index of the first quarantined part of a prompt, or false. It
	// doesn't block.
	QuarantinedPart(*Prompt) (index int, ok bool)
	// TakeProbe reports whether a request with a quarantined part may be sent once, to find out
	// whether the part still crashes engines.
	TakeProbe(*Prompt) bool
	// IsSuspect reports whether several engines were lost under requests that share a part with the
	// prompt, and none is known to have survived one.
	IsSuspect(*Prompt) bool
	// RecordLost records that an engine lost a request.
	RecordLost(LostRequest)
	// RecordSurvived records that an engine has survived the beginning of the answer to a prompt.
	RecordSurvived(target *Registration, p *Prompt)
}

// FormatPart returns the ID of a part of a prompt as it appears in logs and in the store.
func FormatPart(id uint64) string { return fmt.Sprintf("%016x", id) }
