package engine

import (
	"hash/fnv"
	"strconv"
	"strings"

	"gorseline/core"
)

var words = strings.Fields(`account balance book cash claim clause client club cover credit
	debit deposit draft due entry export fee file fund grant holder interest invoice journal
	ledger limit loss margin member month note offer order owner payment period policy post
	premium quarter rate receipt record refund report reserve review risk share statement sum
	tax term ticket total transfer treasurer trust value vote voucher year yield`)

// seedOf derives the seed of an answer from what it answers.
func seedOf(model core.Model, prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model)) // a hash never fails
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
	return words[x%uint64(len(words))] + " "
}

// lengthOf is the number of tokens of an answer: maxTokens, or from 16 to 79.
func lengthOf(seed uint64, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return 16 + int(seed%64)
}

// Answer returns the text and the number of tokens that every engine generates
// for a prompt.
func Answer(model core.Model, prompt string, maxTokens int) (text string, tokens int) {
	seed := seedOf(model, prompt)
	tokens = lengthOf(seed, maxTokens)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(seed, i))
	}
	return b.String(), tokens
}

// Prompt returns a prompt of the given number of tokens. Prompts with the same
// prefix name share their first shared tokens.
func Prompt(prefix string, shared, tokens int, variant uint64) string {
	var b strings.Builder
	seed := seedOf("", prefix)
	for i := range tokens {
		if i == shared {
			seed = seedOf(core.Model(strconv.FormatUint(variant, 10)), prefix)
		}
		b.WriteString(token(seed, i))
	}
	return b.String()
}
