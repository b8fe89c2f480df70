package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gorseline/core"
)

// Planner decides how many servers of each kind one service needs in each data centre. It
// replaces regular servers by the cheaper reclaimable ones, keeps enough for bursts and for
// the loss of the reclaimable servers of a data centre, and doesn't follow waves of load. It
// is not safe for concurrent use.
type Planner struct {
	service core.Service
	options Options
	slots   map[kind]*slot
	demand  demand
	// startedAt is the time of the first plan without a gap, plannedAt that of the last one.
	startedAt, plannedAt core.Instant
	isStarted            bool
	// hasOrdered is set once servers may have been ordered since the start. floorRaisedAt is when the floor
	// of the capacity last rose, because more servers were listed.
	hasOrdered    bool
	floorRaisedAt core.Instant
	// limits are the limits in force, and needs and wanted the numbers of the last plan.
	// afterLoss is the part of needs.afterLoss that the wanted numbers provide.
	limits    core.ScalingLimits
	afterLoss int
	needs     needs
	wanted    map[kind]int
	view      View
}

// NewPlanner returns a planner without observations for a service.
func NewPlanner(service core.Service, options Options) *Planner {
	return &Planner{service: service, options: options.withDefaults(), slots: map[kind]*slot{}, wanted: map[kind]int{}}
}

// Plan returns the orders to send now, those that raise a number first. The caller passes the
// listed servers about once a second while it holds the lease, and passes the result of each
// order to Result; an order that isn't sent counts as core.DutyRefused.
func (p *Planner) Plan(now core.Instant, view View) []core.ServerOrder {
	p.view = view
	p.limits = p.effectiveLimits(view.Limits)
	if p.options.Disabled || p.limits.Max <= 0 {
		return nil
	}
	if !p.isStarted || now.Sub(p.plannedAt) > p.options.GapTime {
		p.start(now)
	}
	p.plannedAt = now
	p.updateSlots(now)
	p.demand.observe(now, &p.view, p.ready(), &p.options)
	if now.Sub(p.startedAt) < p.options.StartDelay {
		p.demand.capacity = max(p.demand.capacity, p.listedCapacity())
	}
	p.updateFloor(now)
	p.solve(now)
	if now.Sub(p.startedAt) < p.options.StartDelay {
		return nil
	}
	p.hasOrdered = true
	orders := p.raise(now)
	if now.Sub(p.startedAt) >= p.options.WatchTime && !p.isIdle() || p.isSettled(now) {
		orders = append(orders, p.lower(now)...)
	}
	return orders
}

// Result records the result of an order that Plan returned.
func (p *Planner) Result(now core.Instant, order core.ServerOrder, result core.DutyResult) {
	s := p.slots[kind{order.DataCentre, order.IsReclaimable}]
	if s == nil || !s.isAwaiting || s.last.desired != order.Desired || order.Service != p.service {
		return
	}
	s.result(now, result, &p.options)
}

// effectiveLimits applies the settings within the limits of the service. Max takes precedence over
// a greater Min, since it bounds the cost.
func (p *Planner) effectiveLimits(limits core.ScalingLimits) core.ScalingLimits {
	least, most := max(0, min(limits.Min, limits.Max)), limits.Max
	limits.Max = max(least, min(orDefault(p.options.Max, most), most))
	limits.Min = min(max(orDefault(p.options.Min, least), least), limits.Max)
	return limits
}

// start forgets the observations and orders, but not the pauses.
func (p *Planner) start(now core.Instant) {
	p.startedAt, p.isStarted = now, true
	p.demand = demand{}
	p.hasOrdered = false
	for _, s := range p.slots {
		*s = slot{pausedUntil: s.pausedUntil, pause: s.pause}
	}
}

// updateSlots takes over the listed servers. A data centre with a price may have none.
func (p *Planner) updateSlots(now core.Instant) {
	names := map[core.DataCentre]bool{}
	for name := range p.view.DataCentres {
		names[name] = true
	}
	for name := range p.limits.Prices {
		names[name] = true
	}
	for k := range p.slots {
		names[k.dataCentre] = true
	}
	for name := range names {
		listed := p.view.DataCentres[name]
		p.slot(kind{name, false}).update(now, listed.Regular, p.limits.BootTime, &p.options)
		p.slot(kind{name, true}).update(now, listed.Reclaimable, p.limits.BootTime, &p.options)
	}
}

func (p *Planner) slot(k kind) *slot {
	s := p.slots[k]
	if s == nil {
		s = &slot{}
		p.slots[k] = s
	}
	return s
}

// dataCentres returns the names of all data centres in order.
func (p *Planner) dataCentres() []core.DataCentre {
	var names []core.DataCentre
	for k := range p.slots {
		if k.isReclaimable {
			names = append(names, k.dataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// ready returns the number of ready servers.
func (p *Planner) ready() int {
	n := 0
	for _, s := range p.slots {
		n += s.Ready
	}
	return n
}

// readyByKind returns the numbers of ready servers of each kind, and the reclaimable ones of the data centre with
// most.
func (p *Planner) readyByKind() (regular, reclaimable, most int) {
	for k, s := range p.slots {
		if k.isReclaimable {
			reclaimable += s.Ready
			most = max(most, s.Ready)
		} else {
			regular += s.Ready
		}
	}
	return regular, reclaimable, most
}

// listedCapacity returns the capacity that a new holder finds. While the predecessor was
// replacing servers, regular ones and their replacements are listed at the same time and count
// once, unless the load needs both.
func (p *Planner) listedCapacity() int {
	regular, reclaimable, _ := p.readyByKind()
	both := min(regular+reclaimable, roundUp(p.options.BurstFactor*p.demand.peak))
	return max(regular, reclaimable, both)
}

// keepsCapacity reports whether the fleet is kept at the size that the planner finds.
func (p *Planner) keepsCapacity() bool {
	return p.options.KeepCapacity && p.limits.ReclaimablePrice > 0 && p.limits.ReclaimablePrice <= maxKeepPrice
}

// maxKeepPrice is the price of a reclaimable server, as a share of a regular one's, up to which capacity is kept:
// the fleet and a quarter more of it then cost less than half of the regular servers.
const maxKeepPrice = 0.3

// updateFloor takes the regular servers that are listed as the floor of the capacity, and what an earlier holder
// has ordered before the first order, less the reclaimable ones of the data centre with most: those were
// ordered in addition. The planner itself orders no more regular ones than the floor.
func (p *Planner) updateFloor(now core.Instant) {
	if !p.keepsCapacity() {
		return
	}
	regular, reclaimable, most := p.readyByKind()
	floor := regular
	if !p.hasOrdered {
		floor = min(regular+reclaimable-most, max(regular, reclaimable))
	}
	if floor > p.demand.floor {
		p.demand.floor, p.floorRaisedAt = floor, now
	}
	p.demand.capacity = max(p.demand.capacity, p.demand.floor)
}

// isSettled reports whether an idle fleet may be lowered: all its servers are listed, and none changes its role.
func (p *Planner) isSettled(now core.Instant) bool {
	return p.isIdle() && !p.view.IsChanging && now.Sub(p.floorRaisedAt) >= p.options.SettleTime
}

// isIdle reports whether no work has been observed. Servers that go then have no caches that callers would
// miss, so that all are replaced at once.
func (p *Planner) isIdle() bool {
	return p.keepsCapacity() && p.demand.peak == 0 && p.view.RefusedShare == 0
}

// solve derives the wanted numbers from the demand.
func (p *Planner) solve(now core.Instant) {
	d, o := &p.demand, &p.options
	afterLoss := d.scaled(o.LossHeadroom)
	work := d.scaled(o.RegularHeadroom)
	if d.floor > 0 {
		afterLoss, work = min(afterLoss, d.floor), min(work, d.floor)
	}
	p.needs = needs{
		regular:        max(1, roundUp(d.heldPeak*o.RegularShare)),
		work:           max(min(work, d.capacity), p.view.MustStay),
		afterLoss:      afterLoss,
		capacity:       max(d.capacity, work, p.view.MustStay),
		spareAfterLoss: max(afterLoss, min(d.scaled(o.Headroom), d.capacity), d.floor),
	}
	m := mix{min: p.limits.Min, max: p.limits.Max, reclaimablePrice: p.limits.ReclaimablePrice}
	for _, name := range p.dataCentres() {
		m.offers = append(m.offers, p.offer(now, name))
	}
	m.solve(p.needs)
	p.afterLoss = min(p.needs.afterLoss, m.afterLoss())
	p.wanted = map[kind]int{}
	for _, offered := range m.offers {
		p.wanted[kind{offered.dataCentre, false}] = offered.regular
		p.wanted[kind{offered.dataCentre, true}] = offered.reclaimable
	}
}

// offer returns what can be ordered in a data centre: while a kind is paused, no more than there
// is already. Reclaimable servers are ordered only if they are known to be cheaper.
func (p *Planner) offer(now core.Instant, name core.DataCentre) offer {
	regular, reclaimable := p.slot(kind{name, false}), p.slot(kind{name, true})
	o := offer{
		dataCentre: name, price: p.price(name), maxRegular: p.limits.Max, maxReclaimable: p.limits.Max,
		presentRegular: regular.current(),
	}
	if regular.isPaused(now) {
		o.maxRegular = min(o.maxRegular, regular.current())
	}
	isCheaper := p.view.PricesKnown && p.limits.ReclaimablePrice > 0 && p.limits.ReclaimablePrice < 1
	if reclaimable.isPaused(now) || reclaimable.isReclaimed || !isCheaper {
		o.maxReclaimable = min(o.maxReclaimable, reclaimable.current())
	}
	return o
}

// price returns the price of a regular server; a data centre without a stated price counts as
// the most expensive one.
func (p *Planner) price(name core.DataCentre) float64 {
	if price, ok := p.limits.Prices[name]; ok {
		return price
	}
	highest := 1.0
	for price := range maps.Values(p.limits.Prices) {
		highest = max(highest, price)
	}
	return highest
}

// raise returns the orders that raise numbers, as far as the service's Max leaves room beside the
// other kind, and repeats the orders that may have been lost.
func (p *Planner) raise(now core.Instant) []core.ServerOrder {
	var orders []core.ServerOrder
	for _, name := range p.dataCentres() {
		kinds := [...]kind{{name, true}, {name, false}}
		for i, k := range kinds {
			s, other := p.slots[k], p.slots[kinds[1-i]]
			if s.isAwaiting {
				continue
			}
			room := p.view.Limits.Max - other.most()
			desired := max(s.current(), min(p.wanted[k], room))
			if desired > s.current() || s.isLost {
				orders = append(orders, p.order(now, k, desired))
			}
			isUnfilled := !other.isAwaiting && !other.isLost && other.accepted > other.current()
			if p.wanted[k] > room && isUnfilled && s.current()+other.current() >= p.limits.Min {
				// Gives up servers that never came, to make room for the next plan.
				orders = append(orders, p.order(now, kinds[1-i], other.current()))
			}
		}
	}
	return orders
}

// lower returns the orders that lower numbers: a few servers per data centre and plan, and only
// as many as the ready servers can spare.
func (p *Planner) lower(now core.Instant) []core.ServerOrder {
	spare, swap := p.spare()
	var orders []core.ServerOrder
	for _, k := range p.byExcess() {
		s := p.slots[k]
		isTooEarly := s.hasLowered && now.Sub(s.loweredAt) < p.options.StepInterval
		if s.isAwaiting || s.isLost || isTooEarly || s.Ready < s.current() {
			continue
		}
		step := s.current() - p.wanted[k]
		if !p.isIdle() {
			step = min(step, p.step())
		}
		other := p.slots[kind{k.dataCentre, !k.isReclaimable}]
		present := s.current() + other.current()
		aboveMin := s.current() + other.secured() - p.limits.Min
		switch {
		case present > p.view.Limits.Max:
			step = min(step, present-p.view.Limits.Max)
		case p.isBlocked(now, k):
			step = min(step, swap, aboveMin)
		default:
			step = min(step, spare, aboveMin)
		}
		if step <= 0 {
			continue
		}
		// Only ready servers can be spared: those that boot aren't counted.
		lost := max(0, s.secured()-(s.current()-step))
		spare, swap = spare-lost, swap-lost
		orders = append(orders, p.order(now, k, s.current()-step))
	}
	return orders
}

// spare returns how many ready servers can go, and how many can go while Max leaves no room for
// their replacements.
func (p *Planner) spare() (spare, swap int) {
	secured, most := 0, 0
	for k, s := range p.slots {
		secured += s.secured()
		if k.isReclaimable {
			most = max(most, s.secured())
		}
	}
	capacity := min(p.needs.capacity, p.limits.Max*len(p.slots)/2)
	spare = min(secured-capacity, secured-most-p.afterLoss)
	reduced := int(math.Floor(float64(capacity) * (1 - p.options.SwapShare)))
	keep := max(reduced, min(p.needs.work, capacity))
	return spare, max(spare, min(secured-keep, secured-most-p.afterLoss))
}

// isBlocked reports whether more reclaimable servers are wanted than Max leaves room for beside
// the regular ones.
func (p *Planner) isBlocked(now core.Instant, k kind) bool {
	if k.isReclaimable {
		return false
	}
	other := kind{k.dataCentre, true}
	s := p.slots[other]
	if p.keepsCapacity() && s.Ready < s.current() {
		return false // those that boot come first
	}
	return p.wanted[other] > s.current() && !s.isPaused(now) && s.current()+p.slots[k].most() >= p.view.Limits.Max
}

// step returns by how many servers a number may be lowered at once.
func (p *Planner) step() int {
	perDataCentre := float64(p.demand.capacity) / float64(len(p.slots)/2)
	return max(1, roundUp(p.options.StepShare*perDataCentre))
}

// byExcess returns the kinds with more servers than wanted: regular ones first, since they cost
// most, and of these the greatest excess first.
func (p *Planner) byExcess() []kind {
	excess := func(k kind) int { return p.slots[k].current() - p.wanted[k] }
	kinds := slices.Collect(maps.Keys(p.slots))
	kinds = slices.DeleteFunc(kinds, func(k kind) bool { return excess(k) <= 0 })
	slices.SortFunc(kinds, func(a, b kind) int {
		if a.isReclaimable != b.isReclaimable {
			if b.isReclaimable {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(excess(b), excess(a)), cmp.Compare(a.dataCentre, b.dataCentre))
	})
	return kinds
}

func (p *Planner) order(now core.Instant, k kind, desired int) core.ServerOrder {
	p.slots[k].order(now, desired)
	return core.ServerOrder{Service: p.service, DataCentre: k.dataCentre, IsReclaimable: k.isReclaimable, Desired: desired}
}
