package placement

import "gorseline/core"

// roleCounts holds the number of engines in service per role.
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
// serve. Mixed engines take the work that exceeds the capacity of the prefill and decode
// engines; a prompt costs overhead times as much engine time on them. The engine time needed on
// mixed engines is a convex, piecewise linear function of the multiple with one
// breakpoint per pure role, so each segment is solved directly.
func (c roleCounts) servedMultiple(d demand, overhead float64) float64 {
	const unlimited = 1e9
	prefillLimit, decodeLimit := unlimited, unlimited
	if d.prefill > 0 {
		prefillLimit = float64(c.prefill) / d.prefill
	}
	if d.decode > 0 {
		decodeLimit = float64(c.decode) / d.decode
	}
	mixed := float64(c.mixed)
	prefillCost, decodeCost := overhead*d.prefill, d.decode
	first, firstCost, second := prefillLimit, prefillCost, decodeLimit
	if decodeLimit < prefillLimit {
		first, firstCost, second = decodeLimit, decodeCost, prefillLimit
	}
	if first >= unlimited {
		return unlimited
	}
	// Between the breakpoints only one kind of work overflows to mixed engines.
	if multiple := first + mixed/firstCost; multiple <= second {
		return multiple
	}
	rest := mixed - (second-first)*firstCost
	return second + rest/(prefillCost+decodeCost)
}

// goodput estimates the fraction of the offered weight that is answered in time, from
// 0 to 1.
func (o *Options) goodput(c roleCounts, d demand) float64 {
	return min(1, c.servedMultiple(d, o.MixedOverhead)/(1+o.Headroom))
}

// forecast returns the weighted mean of the goodput under the short and the long average
// of the demand.
func (o *Options) forecast(c roleCounts, t *trend) float64 {
	return o.ShortWeight*o.goodput(c, t.short.value) + (1-o.ShortWeight)*o.goodput(c, t.long.value)
}
