package core

import "strings"

// CountTokens returns the number of tokens in a text, counted as one per word.
func CountTokens(text string) int {
	count := 0
	for range strings.FieldsSeq(text) {
		count++
	}
	return count
}

// AppendPrefixBlocks appends the cumulative hashes of the prompt's full blocks of
// PrefixBlockTokens tokens to dst. Engines identify blocks in cache events by the
// same hashes. The hash is FNV-1a over the words, each followed by a space.
func AppendPrefixBlocks(dst []uint64, prompt string) []uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash, count := uint64(offset), 0
	for word := range strings.FieldsSeq(prompt) {
		for i := range len(word) {
			hash = (hash ^ uint64(word[i])) * prime
		}
		hash = (hash ^ ' ') * prime
		if count++; count%PrefixBlockTokens == 0 {
			dst = append(dst, hash)
		}
	}
	return dst
}
