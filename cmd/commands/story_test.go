package commands

import (
	"time"

	"gorseline/core"
)

// leaseStory is the time line of a lease holder that is killed between the intent
// of an order and its delivery.
func leaseStory() []core.Event {
	at := func(ms time.Duration) core.Timestamp {
		return core.Timestamp{Wall: 1_700_000_000*time.Second + ms*time.Millisecond}
	}
	return []core.Event{
		{At: at(0), Instance: "entry-1", Kind: "ShardAcquired", Detail: "shard 2 fence 7"},
		{At: at(5000), Instance: "entry-1", Kind: "RoleChangePlanned", Target: "ledger-llm-3", Reason: "RatioShift", Detail: "From=Prefill To=Decode Gain=6.2 PromptRate=810 OutputRate=2.1e+03"},
		{At: at(5004), Instance: "entry-1", Kind: "OrderIntended", Target: "ledger-llm-3", Detail: "fence 7 sequence 1 role Decode Pending"},
		{At: at(20100), Instance: "entry-2", Kind: "ShardAcquired", Detail: "shard 2 fence 12"},
		{At: at(20105), Instance: "entry-2", Kind: "OrderAdopted", Target: "ledger-llm-3", Detail: "fence 12 sequence 1 role Decode Pending"},
		{At: at(20106), Instance: "entry-2", Kind: "OrderSent", Target: "ledger-llm-3", Detail: "fence 12 sequence 1 role Decode "},
		{At: at(22300), Instance: "entry-2", Kind: "OrderApplied", Target: "ledger-llm-3", Detail: "fence 12 sequence 1 role Decode Applied"},
	}
}
