package engine

import (
	"hash/fnv"
	"strconv"
	"strings"

	"gorseline/core"
)

// vocabulary holds the words that tokens are taken from.
var vocabulary = strings.Fields(`account balance book cash claim clause client club cover credit
	debit deposit draft due entry export fee file fund grant holder interest invoice journal
	ledger limit loss margin member month note offer order owner payment period policy post
	premium quarter rate receipt record refund report reserve review risk share statement sum
	tax term ticket total transfer treasurer trust value vote voucher year yield`)

// completionSeed derives the seed of a completion from its model and prompt.
func completionSeed(model core.Model, prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model)) // hash.Hash never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// token returns the text of the token with the given index: one word and a space.
func token(seed uint64, index int) string {
	// The constants are those of SplitMix64.
	x := seed + uint64(index+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return vocabulary[x%uint64(len(vocabulary))] + " "
}

// outputLength returns the number of output tokens: maxTokens if positive, otherwise
// a number from 16 to 79 that depends on the seed.
func outputLength(seed uint64, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return 16 + int(seed%64)
}

// Answer returns the text that every Engine generates for a prompt, and its number of
// tokens. If maxTokens is not positive, their number depends on model and prompt.
func Answer(model core.Model, prompt string, maxTokens int) (text string, tokens int) {
	seed := completionSeed(model, prompt)
	tokens = outputLength(seed, maxTokens)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(seed, i))
	}
	return b.String(), tokens
}

// Prompt returns a prompt of the given number of tokens. Prompts with the same prefix
// have their first shared tokens in common; variant selects the rest.
func Prompt(prefix string, shared, tokens int, variant uint64) string {
	var b strings.Builder
	seed := completionSeed("", prefix)
	for i := range tokens {
		if i == shared {
			seed = completionSeed(core.Model(strconv.FormatUint(variant, 10)), prefix)
		}
		b.WriteString(token(seed, i))
	}
	return b.String()
}
