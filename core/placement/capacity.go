package placement

import "gorseline/core"

// roleCounts are the engines in service per role.
type roleCounts struct {
	mixed, prefill, decode int
}

func (c *roleCounts) add(role core.Role, n int) {
	switch role {
	case core.RoleMixed:
		c.mixed += n
	case core.RolePrefill:
		c.prefill += n
	case core.RoleDecode:
		c.decode += n
	case core.RoleNone:
	}
}

func (c roleCounts) with(role core.Role, n int) roleCounts {
	c.add(role, n)
	return c
}

func (c roleCounts) acceptsPrefill() int { return c.mixed + c.prefill }

func (c roleCounts) acceptsDecode() int { return c.mixed + c.decode }

// servedMultiple returns the largest multiple of the demand that the engines can
// serve. Mixed engines take the prompts and tokens that the specialised ones
// can't; a prompt costs overhead times as much there. The engine time needed on
// mixed engines is a convex, piecewise linear function of the multiple with one
// breakpoint per specialised role, so the answer is found by cases.
func (c roleCounts) servedMultiple(d demand, overhead float64) float64 {
	const unlimited = 1e9
	prefillEdge, decodeEdge := unlimited, unlimited
	if d.prefill > 0 {
		prefillEdge = float64(c.prefill) / d.prefill
	}
	if d.decode > 0 {
		decodeEdge = float64(c.decode) / d.decode
	}
	mixed := float64(c.mixed)
	prefillCost, decodeCost := overhead*d.prefill, d.decode
	first, firstCost, second := prefillEdge, prefillCost, decodeEdge
	if decodeEdge < prefillEdge {
		first, firstCost, second = decodeEdge, decodeCost, prefillEdge
	}
	if first >= unlimited {
		return unlimited
	}
	// Between the edges only one kind of work overflows to mixed engines.
	if alone := first + mixed/firstCost; alone <= second {
		return alone
	}
	rest := mixed - (second-first)*firstCost
	return second + rest/(prefillCost+decodeCost)
}

// goodput estimates the weight per second answered in time, as a part of what is
// offered, from 0 to 1.
func (o *Options) goodput(c roleCounts, d demand) float64 {
	return min(1, c.servedMultiple(d, o.MixedOverhead)/(1+o.Headroom))
}

// forecast weighs the goodput on the two time scales.
func (o *Options) forecast(c roleCounts, t *trend) float64 {
	return o.ShortWeight*o.goodput(c, t.short.value) + (1-o.ShortWeight)*o.goodput(c, t.long.value)
}
