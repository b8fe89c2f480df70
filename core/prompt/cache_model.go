package prompt

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gorseline/core"
	"gorseline/core/common/random"
)

// Chain is the cumulative keys of a prompt's parts with their tokens. Equal keys mean
// equal prompts up to and including that part.
type Chain []Link

// Link is one part of a chain.
type Link struct {
	Key    uint64
	Tokens int
}

// NewChain returns the chain of a prompt.
func NewChain(p *core.Prompt) Chain {
	chain := make(Chain, len(p.Parts))
	key := uint64(0)
	for i, part := range p.Parts {
		key = random.Mix(key ^ part.ID ^ uint64(part.Tokens)<<40)
		chain[i] = Link{key, part.Tokens}
	}
	return chain
}

// SharedPrefix returns the chain without its last part, which belongs to one request.
func (c Chain) SharedPrefix() Chain { return c[:max(0, len(c)-1)] }

// maximumParts bounds the parts remembered per engine; at 1,000 tokens a part it covers
// 8 million tokens.
const maximumParts = 8192

// CacheModel is what an engine is believed to hold: the parts of the prompts that were sent
// to it, as far as they fit, least recently used ones dropped first. It is not safe for
// concurrent use.
type CacheModel struct {
	capacity int
	used     int
	parts    *simplelru.LRU[uint64, int]
}

// NewCacheModel returns an empty cache of a capacity in tokens.
func NewCacheModel(capacity int) *CacheModel {
	c := &CacheModel{capacity: capacity}
	// The size is a positive constant, so there is no error.
	c.parts, _ = simplelru.NewLRU(maximumParts, func(_ uint64, tokens int) { c.used -= tokens })
	return c
}

// CachedTokens returns how many leading tokens of the chain are held.
func (c *CacheModel) CachedTokens(chain Chain) int {
	held := 0
	for _, link := range chain {
		if !c.parts.Contains(link.Key) {
			break
		}
		held += link.Tokens
	}
	return held
}

// Add notes that the engine has computed or imported the chain.
func (c *CacheModel) Add(chain Chain) {
	// The first parts are used by most prompts and stay longest.
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
