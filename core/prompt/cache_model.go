package prompt

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Chain lists the parts of a prompt in order.
type Chain []Link

// Link is one part of a chain.
type Link struct {
	// Key identifies the content of the part and the model.
	Key    uint64
	Tokens int
}

// NewChain returns the chain of a prompt.
func NewChain(p *core.Prompt) Chain {
	chain := make(Chain, len(p.Parts))
	for i, part := range p.Parts {
		chain[i] = newLink(p.Model, part)
	}
	return chain
}

func newLink(model core.Model, part core.PromptPart) Link {
	return Link{random.Mix(part.ID ^ xxhash.Sum64String(string(model))), part.Tokens}
}

// SharedPrefix returns the chain without its last part, which is specific to one request.
func (c Chain) SharedPrefix() Chain { return c[:max(0, len(c)-1)] }

// maxParts is the maximum number of parts in the model of one engine's cache. At 1,000
// tokens per part it covers 8 million tokens.
const maxParts = 8192

// CacheModel models the KV cache of an engine as an LRU cache of the prompt parts that
// were sent to it. It is not safe for concurrent use.
type CacheModel struct {
	capacity int // tokens
	used     int // tokens
	// parts maps the key of a part to its tokens.
	parts *simplelru.LRU[uint64, int]
}

// NewCacheModel returns the model of an empty cache with a capacity in tokens.
func NewCacheModel(capacity int) *CacheModel {
	c := &CacheModel{capacity: capacity}
	// NewLRU fails only if the size isn't positive.
	c.parts, _ = simplelru.NewLRU(maxParts, func(_ uint64, tokens int) { c.used -= tokens })
	return c
}

// CachedTokens returns the number of leading tokens of the chain that are in the cache. An engine
// uses a cached part only if all parts before it are cached too.
func (c *CacheModel) CachedTokens(chain Chain) int {
	cached := 0
	for _, link := range chain {
		if !c.parts.Contains(link.Key) {
			break
		}
		cached += link.Tokens
	}
	return cached
}

// AddParts records parts that the engine reports as cached.
func (c *CacheModel) AddParts(parts []core.CachedPart) {
	chain := make(Chain, len(parts))
	for i, part := range parts {
		chain[i] = newLink(part.Model, part.PromptPart)
	}
	c.Add(chain)
}

// Add records that the engine has computed or imported the chain. It evicts the least
// recently used parts beyond the capacity.
func (c *CacheModel) Add(chain Chain) {
	// The first parts are shared by most prompts. They are touched last so that they are
	// evicted last.
	for i := len(chain) - 1; i >= 0; i-- {
		if _, ok := c.parts.Get(chain[i].Key); ok {
			continue
		}
		c.used += chain[i].Tokens
		c.parts.Add(chain[i].Key, chain[i].Tokens)
	}
	for c.used > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
