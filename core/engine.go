package core

import (
	"context"
	"io"
)

// CompletionRequest asks an engine for a completion.
type CompletionRequest struct {
	Request RequestID
	Attempt AttemptID
	Model   Model
	// Prompt is the prompt text; stand-in engines count one token per word.
	Prompt    string
	MaxTokens int
	Priority  int
	// ImportFrom is the address of an engine to import the prompt's KV cache from.
	ImportFrom string
	// PrefillOnly computes the prompt without generating an answer and keeps its KV
	// cache for export.
	PrefillOnly bool
}

// Piece is one message of a streamed answer: some text, a heartbeat or the terminal
// message.
type Piece struct {
	// Stream is the engine's ID of the stream, which Resume and Cancel need.
	Stream string
	// Attempt is the request's AttemptID, echoed by the engine; it identifies late pieces.
	Attempt AttemptID
	// Offset is the index of the first token of Text in the answer.
	Offset int
	Text   string
	// Tokens is the number of tokens in Text.
	Tokens int
	// Final marks the terminal piece; Total is then the number of tokens of the
	// whole answer.
	Final bool
	Total int
	// Heartbeat marks a piece without text, sent to keep the stream alive.
	Heartbeat bool
}

// PieceReader reads the pieces of one stream in order.
type PieceReader interface {
	// Next returns the next piece. It returns io.EOF after the terminal piece and
	// ErrStreamCut when the stream ended before it.
	Next(ctx context.Context) (Piece, error)
	io.Closer
}

// Order sets the role, model and adapter of an engine. It states the whole desired
// state and is idempotent.
type Order struct {
	Target TargetID
	// Shard is the shard whose lease Fence belongs to.
	Shard          int
	Role           Role
	Model          Model
	Adapter        string
	WeightsVersion string
	Fence          Fence
	// Sequence increases with each new order to the target.
	Sequence uint64
	Attempt  AttemptID
}

// OrderResult is the outcome of sending an order to a target.
type OrderResult uint8

// Results of an order.
const (
	// OrderUnknown means that the order may or may not have arrived.
	OrderUnknown OrderResult = iota
	OrderAccepted
	// OrderStale means that the target refused an outdated fence or sequence.
	OrderStale
	// OrderRejected means that the target can't carry out the order.
	OrderRejected
)

// CacheEvent reports that an engine cached or evicted a prompt block. Events arrive
// late and may be lost; a gap in Sequence reveals a loss.
type CacheEvent struct {
	Sequence uint64
	Block    uint64
	Evicted  bool
}

// Completer starts, resumes and cancels completions on an engine.
type Completer interface {
	Complete(ctx context.Context, address string, req CompletionRequest) (PieceReader, error)
	// Resume continues a stream from the given token offset.
	Resume(ctx context.Context, address, stream string, offset int) (PieceReader, error)
	Cancel(ctx context.Context, address, stream string) error
}

// LoadReporter asks a target for its load.
type LoadReporter interface {
	Load(ctx context.Context, address string) (LoadReport, error)
}

// CachedPart is a part of a prompt in an engine's KV cache.
type CachedPart struct {
	Model Model
	PromptPart
}

// CacheReader lists the parts of prompts that an engine has in its KV cache, in no particular
// order. The call delays the engine's work.
type CacheReader interface {
	CachedParts(ctx context.Context, address string, id TargetID) ([]CachedPart, error)
}

// Orderer sends an order to an engine. Order must not start to send after the deadline
// of ctx, which is also the write deadline of the connection.
type Orderer interface {
	Order(ctx context.Context, address string, order Order) OrderResult
}

// CacheEventReader reads the cache events after a sequence number.
type CacheEventReader interface {
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// EngineClient combines all operations on model engines.
type EngineClient interface {
	Completer
	LoadReporter
	Orderer
	CacheEventReader
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Request RequestID
	Attempt AttemptID
	Method  string
	Path    string
	Key     OperationKey
	Body    []byte
}

// ServiceAnswer is a plain service's answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceResult is the outcome of a call. Answer is set with OutcomeDone; with
// OutcomeNotRun no byte of the call reached the target.
type ServiceResult struct {
	Outcome OutcomeKind
	Answer  ServiceAnswer
	Err     error
}

// ServiceClient calls plain services.
type ServiceClient interface {
	Call(ctx context.Context, address string, call ServiceCall) ServiceResult
}
