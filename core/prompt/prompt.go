// Package prompt estimates the length of prompts and hashes their blocks.
package prompt

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// Tokens returns the number of whitespace-separated words of text. Routing needs
// only an estimate: the engine's own count is learned from its answers.
func Tokens(text string) int {
	n := 0
	for range strings.FieldsSeq(text) {
		n++
	}
	return n
}

// Measure returns the number of words of text and the cumulative hashes of its
// full blocks of core.PrefixBlockTokens words, in one pass.
func Measure(text string) (tokens int, blocks []uint64) {
	digest := xxhash.New()
	for word := range strings.FieldsSeq(text) {
		_, _ = digest.WriteString(word) // xxhash.Digest never returns an error
		_, _ = digest.WriteString(" ")
		tokens++
		if tokens%core.PrefixBlockTokens == 0 {
			blocks = append(blocks, digest.Sum64())
		}
	}
	return tokens, blocks
}
