package core

// IntakeBudget bounds the memory that unfinished and running requests of callers hold together.
type IntakeBudget interface {
	// NewHold returns a hold without bytes. cut is called at most once, before Finish and Close, if the hold has to make
	// room for others; it must not block or call the hold.
	NewHold(cut func()) IntakeHold
}

// IntakeHold is the memory that one request holds. Its methods except Close are called by one goroutine.
type IntakeHold interface {
	// Reserve adds bytes before they are allocated. It may wait a moment for others to be cut. It returns false if the
	// memory is short or the hold has been cut; the request is then refused.
	Reserve(bytes int64) bool
	// Release gives some of the bytes back.
	Release(bytes int64)
	// RecordArrival notes bytes that have arrived from the caller.
	RecordArrival(bytes int64)
	// IsCut reports whether the hold has been cut.
	IsCut() bool
	// Finish notes that the request has arrived as a whole. It isn't cut from then on. It returns false if it has been cut.
	Finish() bool
	// Close gives all bytes back.
	Close()
}
