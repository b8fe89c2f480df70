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

// Guards against estimates that stay far from what engines need, whatever their speed.
func TestCostIsLearned(t *testing.T) {
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

// Guards against refusals after a restart, when other instances' work that is not yet known
// lengthens most samples.
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

// Guards against a single stalled answer that spoils the estimate.
func TestStalledAnswerTeachesNothing(t *testing.T) {
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

// Guards against estimates that are negative or not finite, whatever is observed.
func TestCostStaysFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := prompt.NewCostModel()
		for range rapid.IntRange(1, 300).Draw(t, "samples") {
			tokens := rapid.IntRange(0, 40_000).Draw(t, "tokens")
			held := rapid.IntRange(0, tokens).Draw(t, "held")
			ms := rapid.IntRange(0, 5000).Draw(t, "ms")
			c.Observe(prompt.NewWork(tokens, held), time.Duration(ms)*time.Millisecond)
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

// Guards against a part that counts as held although what comes before it differs.
func TestHeldNeedsAllPartsBefore(t *testing.T) {
	c := prompt.NewCacheModel(10_000)
	c.Add(chainOf(core.PromptPart{ID: 1, Tokens: 100}, core.PromptPart{ID: 2, Tokens: 200}))
	if got := c.CachedTokens(chainOf(core.PromptPart{ID: 1, Tokens: 100}, core.PromptPart{ID: 2, Tokens: 200}, core.PromptPart{ID: 3, Tokens: 50})); got != 300 {
		t.Errorf("held %d", got)
	}
	if got := c.CachedTokens(chainOf(core.PromptPart{ID: 9, Tokens: 100}, core.PromptPart{ID: 2, Tokens: 200})); got != 0 {
		t.Errorf("held %d of a prompt that begins differently", got)
	}
}

// Guards against a model that holds more than the engine can, and against one that drops
// what most prompts share before what nobody asks for again.
func TestCacheKeepsToItsCapacity(t *testing.T) {
	c := prompt.NewCacheModel(5000)
	root := core.PromptPart{ID: 1, Tokens: 1000}
	for i := range uint64(100) {
		c.Add(chainOf(root, core.PromptPart{ID: 100 + i, Tokens: 1000}))
	}
	if got := c.CachedTokens(chainOf(root)); got != 1000 {
		t.Errorf("the shared part is not held: %d", got)
	}
	held := 0
	for i := range uint64(100) {
		held += c.CachedTokens(chainOf(root, core.PromptPart{ID: 100 + i, Tokens: 1000})) - 1000
	}
	if held > 4000 {
		t.Errorf("%d tokens held beside the shared part, room is for 4000", held)
	}
}
