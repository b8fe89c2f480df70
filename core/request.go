package core

import "time"

// Kind describes one kind of request. Kinds are part of the configuration.
type Kind struct {
	Name KindName
	// Weight is the goodput of one request of this kind that is answered in time.
	Weight float64
	// Deadline is the time allowed for the whole answer.
	Deadline time.Duration
	// FirstToken is the time allowed until the first token; 0 means no limit.
	FirstToken time.Duration
	// BetweenTokens is the mean time allowed between tokens; 0 means no limit.
	BetweenTokens time.Duration
	// Priority orders requests in admission and in engine queues; higher values go first.
	Priority int
	// Urgent reserves capacity for this kind while long prompts are computed.
	Urgent bool
	// Repeatable is false for calls that must run at most once.
	Repeatable bool
	// OutputTokens is the expected output length of requests that don't state one.
	OutputTokens int
}

// Request holds the properties of a request that routing and admission use.
type Request struct {
	ID           RequestID
	Organisation Organisation
	Kind         Kind
	Model        Model
	// Service is set for calls to plain services and empty for model requests.
	Service Service
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int
	// PrefixBlocks are cumulative hashes of the prompt's blocks of PrefixBlockTokens
	// tokens: equal values mean equal prompts up to that block.
	PrefixBlocks []uint64
	// Arrived is the time at which the request reached this instance.
	Arrived Instant
	// Deadline is the time by which the whole answer must have arrived.
	Deadline Instant
	// Key is the idempotency key; it is required when the kind isn't repeatable.
	Key OperationKey
	// Revision is the configuration revision under which the request was admitted.
	Revision Revision
}

// PrefixBlockTokens is the number of prompt tokens in one prefix block, the
// granularity at which engines cache prompt prefixes.
const PrefixBlockTokens = 64

// Remaining returns the time left until the deadline; it is negative afterwards.
func (r *Request) Remaining(now Instant) time.Duration { return r.Deadline.Sub(now) }

// AffinityKey returns the hash of the first prompt block, or 0 for prompts
// shorter than one block.
func (r *Request) AffinityKey() uint64 {
	if len(r.PrefixBlocks) == 0 {
		return 0
	}
	return r.PrefixBlocks[0]
}
