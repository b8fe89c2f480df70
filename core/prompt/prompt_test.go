package prompt_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gorseline/core"
	"gorseline/core/prompt"
)

// Guards against estimates that don't converge to the engine's times, for engines of
// different speeds.
func TestCostModelConverges(t *testing.T) {
	for _, engine := range []struct{ overhead, token, pair float64 }{
		{1, 1.0 / 331, 0.0737}, {2, 1.0 / 419, 0.0737}, {5, 1.0 / 50, 0.5}, {0.2, 1.0 / 2000, 0.005},
	} {
		rng := rand.New(rand.NewPCG(1, 1))
		c := prompt.NewCostModel()
		took := func(w prompt.Work) time.Duration {
			ms := engine.overhead + engine.token*float64(w.Tokens) + engine.pair*w.Pairs
			return time.Duration(ms * float64(time.Millisecond))
		}
		for range 200 {
			w := prompt.NewWork(500+rng.IntN(15_000), 0)
			noise := 1 + 0.1*rng.NormFloat64()
			c.Observe(w, time.Duration(noise*float64(took(w))))
		}
		for _, tokens := range []int{2000, 9000, 14_000} {
			w := prompt.NewWork(tokens, 0)
			if ratio := float64(c.Time(w)) / float64(took(w)); ratio < 0.8 || ratio > 1.25 {
				t.Errorf("engine %+v, %d tokens: estimate %v, true %v", engine, tokens, c.Time(w), took(w))
			}
		}
	}
}

// Guards against refusals after a restart, when work of other instances that this one
// doesn't know of lengthens most samples.
func TestUnknownWorkBarelySlowsTheEstimate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	c := prompt.NewCostModel()
	took := func(w prompt.Work) float64 { return 1 + float64(w.Tokens)/331 + 0.0737*w.Pairs }
	for range 100 {
		w := prompt.NewWork(3000+rng.IntN(10_000), 0)
		ms := took(w)
		if rng.IntN(2) == 0 {
			ms += 40 * rng.Float64()
		}
		c.Observe(w, time.Duration(ms*float64(time.Millisecond)))
	}
	w := prompt.NewWork(9000, 0)
	if ratio := float64(c.Time(w)) / (took(w) * float64(time.Millisecond)); ratio < 0.8 || ratio > 1.35 {
		t.Errorf("estimate %v, true %.1f ms", c.Time(w), took(w))
	}
}

// Guards against an estimate that rises because a single answer stalled.
func TestStalledAnswerIsIgnored(t *testing.T) {
	c := prompt.NewCostModel()
	w := prompt.NewWork(5000, 0)
	for range 50 {
		c.Observe(w, 20*time.Millisecond)
	}
	c.Observe(w, 3*time.Second)
	if got := c.Time(w); got < 15*time.Millisecond || got > 25*time.Millisecond {
		t.Errorf("estimate %v after a stall", got)
	}
}

// Guards against estimates that are negative or not finite after extreme observations.
func TestCostModelStaysFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := prompt.NewCostModel()
		for range rapid.IntRange(1, 300).Draw(t, "samples") {
			tokens := rapid.IntRange(0, 40_000).Draw(t, "tokens")
			cached := rapid.IntRange(0, tokens).Draw(t, "cached")
			ms := rapid.IntRange(0, 5000).Draw(t, "ms")
			c.Observe(prompt.NewWork(tokens, cached), time.Duration(ms)*time.Millisecond)
		}
		got := c.Time(prompt.NewWork(9000, 0))
		if got < 0 || math.IsNaN(got.Seconds()) || got > time.Hour {
			t.Fatalf("estimate %v", got)
		}
	})
}

func chainOf(parts ...core.PromptPart) prompt.Chain {
	return prompt.NewChain(&core.Prompt{Parts: parts})
}

// Guards against a part that counts as cached although a part before it differs.
func TestCachedTokensNeedAllPartsBefore(t *testing.T) {
	c := prompt.NewCacheModel(10_000)
	c.Add(chainOf(core.PromptPart{ID: 1, Tokens: 100}, core.PromptPart{ID: 2, Tokens: 200}))
	if got := c.CachedTokens(chainOf(core.PromptPart{ID: 1, Tokens: 100}, core.PromptPart{ID: 2, Tokens: 200}, core.PromptPart{ID: 3, Tokens: 50})); got != 300 {
		t.Errorf("%d tokens cached, want 300", got)
	}
	if got := c.CachedTokens(chainOf(core.PromptPart{ID: 9, Tokens: 100}, core.PromptPart{ID: 2, Tokens: 200})); got != 0 {
		t.Errorf("%d tokens cached of a prompt that begins differently, want 0", got)
	}
}

// Guards against a model that exceeds the capacity of the cache, and against one that
// evicts the part that all prompts share before parts that are used only once.
func TestCacheModelKeepsToCapacity(t *testing.T) {
	c := prompt.NewCacheModel(5000)
	root := core.PromptPart{ID: 1, Tokens: 1000}
	for i := range uint64(100) {
		c.Add(chainOf(root, core.PromptPart{ID: 100 + i, Tokens: 1000}))
	}
	if got := c.CachedTokens(chainOf(root)); got != 1000 {
		t.Errorf("%d tokens of the shared part are cached, want 1000", got)
	}
	cached := 0
	for i := range uint64(100) {
		cached += c.CachedTokens(chainOf(root, core.PromptPart{ID: 100 + i, Tokens: 1000})) - 1000
	}
	if cached > 4000 {
		t.Errorf("%d tokens cached besides the shared part, the capacity is 4000", cached)
	}
}
