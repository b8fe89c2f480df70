package prompt_test

import (
	"slices"
	"strings"
	"testing"

	"gorseline/core"
	"gorseline/core/prompt"
)

// Guards against prompts with a shared start that look different to routing, and
// prompts that differ early but look alike later.
func TestMeasureSharesPrefixBlocks(t *testing.T) {
	shared := strings.Repeat("guidance ", 3*core.PrefixBlockTokens)
	tokensA, a := prompt.Measure(shared + strings.Repeat("alpha ", core.PrefixBlockTokens))
	_, b := prompt.Measure(shared + strings.Repeat("beta ", core.PrefixBlockTokens))
	_, c := prompt.Measure("other " + shared)
	if tokensA != 4*core.PrefixBlockTokens || prompt.Tokens(shared) != 3*core.PrefixBlockTokens {
		t.Errorf("counted %d tokens", tokensA)
	}
	if !slices.Equal(a[:3], b[:3]) || a[3] == b[3] {
		t.Errorf("blocks %v and %v", a, b)
	}
	if c[2] == a[2] {
		t.Error("a different start gave the same cumulative hash")
	}
}
