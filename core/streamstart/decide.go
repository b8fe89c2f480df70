package streamstart

import (
	"gorseline/core"
)

// EvidenceKind says what an instance knows about the version at which a stream began.
type EvidenceKind uint8

// Kinds of evidence.
const (
	// EvidenceNone rules out nothing.
	EvidenceNone EvidenceKind = iota
	// EvidenceRecord is a record of the stream.
	EvidenceRecord
	// EvidenceSingle means that streams of the service can have begun at one version only.
	EvidenceSingle
	// EvidenceSeen means that one version was seen, but others may have been missed.
	EvidenceSeen
	// EvidenceMixed means that there are several versions and no record, or contradicting records.
	EvidenceMixed
)

// Evidence is what an instance knows about the version at which a stream began.
type Evidence struct {
	Kind EvidenceKind
	// Tag is the version of EvidenceRecord, EvidenceSingle and EvidenceSeen.
	Tag Tag
	// AsOf is a time at which EvidenceSingle held, on the clock of the instance that asks.
	AsOf core.Instant
}

// Result is the result of a lookup.
type Result string

// Results of lookups.
const (
	// FoundOwn is a record of this instance, and FoundRecord one of another instance.
	FoundOwn    Result = "Own"
	FoundRecord Result = "Record"
	// FoundSingle means that the stream can have begun at one version only.
	FoundSingle Result = "Single"
	// NotFoundMixed means that there are several versions and no record; NotFoundConflict that
	// instances contradict each other; NotFoundSilent that there is no evidence.
	NotFoundMixed    Result = "Mixed"
	NotFoundConflict Result = "Conflict"
	NotFoundSilent   Result = "Silent"
	// NotFoundUnseen means that no target of the recorded version was seen.
	NotFoundUnseen Result = "Unseen"
)

// Results lists all results of lookups.
var Results = []Result{
	FoundOwn, FoundRecord, FoundSingle, NotFoundMixed, NotFoundConflict, NotFoundSilent, NotFoundUnseen,
}

// IsFound reports whether the version is known.
func (r Result) IsFound() bool { return r == FoundOwn || r == FoundRecord || r == FoundSingle }

// Decide returns the version that follows from the evidence of this instance and of those that
// have answered so far. arrived is when the caller asked, and isSufficient is set if enough of
// the instances that were asked have answered, see Homes.Suffice.
//
// An instance that begins a stream at a second version publishes it. So if no record exists, the
// stream began while only one version was known to the instance that relayed it. Evidence of a
// single version counts if it holds as of a time after the start of the stream, which was before
// arrived. Somewhat older evidence counts if homes have answered, which would have the record of a
// stream at a version that appeared since.
func Decide(arrived core.Instant, own Evidence, answers []Evidence, isSufficient bool) (Tag, Result) {
	if own.Kind == EvidenceRecord {
		return own.Tag, FoundOwn
	}
	if tag, found, conflicts := record(answers); conflicts {
		return 0, NotFoundConflict
	} else if found {
		return tag, FoundRecord
	}
	var tag Tag
	hasTag, isProven, hasSingle := false, false, false
	for i := -1; i < len(answers); i++ {
		e := own
		if i >= 0 {
			e = answers[i]
		}
		switch e.Kind {
		case EvidenceMixed:
			return 0, NotFoundMixed
		case EvidenceNone:
			continue
		}
		if hasTag && e.Tag != tag {
			return 0, NotFoundConflict
		}
		tag, hasTag = e.Tag, true
		hasSingle = hasSingle || e.Kind == EvidenceSingle
		isProven = isProven || e.Kind == EvidenceSingle && e.AsOf >= arrived
	}
	if isProven || hasSingle && isSufficient {
		return tag, FoundSingle
	}
	return 0, NotFoundSilent
}

// record returns the version of the records among answers, and whether they contradict each other.
func record(answers []Evidence) (tag Tag, found, conflicts bool) {
	for _, e := range answers {
		if e.Kind != EvidenceRecord {
			continue
		}
		if found && e.Tag != tag {
			return 0, false, true
		}
		tag, found = e.Tag, true
	}
	return tag, found, false
}
