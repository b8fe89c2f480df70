package routing

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"gorseline/core"
	"gorseline/core/estimate"
)

// Store is what an instance knows about its targets. It is safe for concurrent use;
// lookups take no lock on it and allocate nothing.
type Store struct {
	table atomic.Pointer[table]
	hints *PrefixIndex
	// instances is the number of instances that send to the targets, at least 1.
	instances atomic.Int64
	// mutex serialises changes of the table.
	mutex    sync.Mutex
	nextSlot uint32
	free     []uint32
	// stale counts the engines that have left a ring since the table was built.
	stale int
}

// staleBase is the number of moves after which the rings of a small fleet are rebuilt.
const staleBase = 16

var _ PrefixFleet = (*Store)(nil)

// table is an immutable view of the known targets.
type table struct {
	nodes    map[core.TargetID]*node
	models   map[core.Model]*ring
	services map[core.Service]*ring
	// names holds one copy of each model's name. Decisions compare the models of many
	// targets, and reading one copy keeps the others out of the processor's cache.
	names map[core.Model]core.Model
}

// StoreOptions are the settings of a store.
type StoreOptions struct {
	// IndexBlocks bounds the remembered prompt blocks, counted once per target that holds
	// them; 0 means DefaultHintBlocks.
	IndexBlocks int
}

// NewStore returns a store that knows no targets.
func NewStore(options StoreOptions) *Store {
	s := &Store{hints: NewPrefixIndex(options.IndexBlocks)}
	s.table.Store(&table{nodes: map[core.TargetID]*node{}})
	s.instances.Store(1)
	return s
}

// SetInstances sets how many instances send to the same targets. Requests sent from here
// after a load report then count for all instances, which find the same candidates and
// see the same report: otherwise all of them would fill a target that looks idle.
func (s *Store) SetInstances(n int) { s.instances.Store(int64(max(1, n))) }

// Candidates implements core.Fleet.
func (s *Store) Candidates(req *core.Request, into []*core.TargetState) []*core.TargetState {
	known := s.table.Load()
	var r *ring
	if req.Service != "" {
		r = known.services[req.Service]
	} else {
		r = known.models[req.Model]
	}
	if r == nil {
		return into
	}
	return r.walk(req, into)
}

// PrefixHits implements PrefixFleet.
func (s *Store) PrefixHits(req *core.Request, candidates []*core.TargetState, hits []int) {
	s.hints.Hits(req, candidates, hits)
}

// SetTargets replaces the known targets. What is known about a target that stays is kept.
func (s *Store) SetTargets(targets []core.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.table.Load().nodes
	nodes := make(map[core.TargetID]*node, len(targets))
	for _, target := range targets {
		n, ok := known[target.ID]
		if !ok {
			n = newNode(target, s.takeSlot())
		} else {
			n.update(func(state *core.TargetState) { state.Target = target })
		}
		nodes[target.ID] = n
	}
	for id, n := range known {
		if _, kept := nodes[id]; !kept {
			slot := n.state.Load().Index
			s.hints.RemoveTarget(slot)
			s.free = append(s.free, slot)
		}
	}
	s.stale = 0
	s.table.Store(newTable(nodes))
}

func (s *Store) takeSlot() uint32 {
	if last := len(s.free) - 1; last >= 0 {
		slot := s.free[last]
		s.free = s.free[:last]
		return slot
	}
	s.nextSlot++
	return s.nextSlot - 1
}

func newTable(nodes map[core.TargetID]*node) *table {
	models := map[core.Model][]*node{}
	services := map[core.Service][]*node{}
	for _, n := range nodes {
		state := n.state.Load()
		for _, model := range servedModels(state) {
			models[model] = append(models[model], n)
		}
		if !state.IsEngine() {
			services[state.Service] = append(services[state.Service], n)
		}
	}
	t := &table{
		nodes:    nodes,
		models:   map[core.Model]*ring{},
		services: map[core.Service]*ring{},
		names:    map[core.Model]core.Model{},
	}
	for model, members := range models {
		t.names[model] = model
		t.models[model] = newRing(members)
	}
	for service, members := range services {
		t.services[service] = newRing(members)
	}
	return t
}

// servedModels returns the model that the engine runs, or all that it may load while it
// has not reported one.
func servedModels(state *core.TargetState) []core.Model {
	if state.Report.Model != "" {
		return []core.Model{state.Report.Model}
	}
	return state.Models
}

// Report takes over a target's load report that arrives now. Reports may arrive late and
// out of order. It returns false for an unknown target.
func (s *Store) Report(now core.Instant, id core.TargetID, report core.LoadReport) bool {
	known := s.table.Load()
	n, ok := known.nodes[id]
	if !ok {
		return false
	}
	if name, ok := known.names[report.Model]; ok {
		report.Model = name
	}
	before, after := n.report(now, report)
	if before.Report.Model != after.Report.Model && after.IsEngine() {
		s.moved(before, after)
	}
	return true
}

// moved notes that an engine runs another model. Only the ring of a model that it joins
// is rebuilt at once: walks skip the engine in the rings that it left, so these are
// rebuilt together after some more moves.
func (s *Store) moved(before, after *core.TargetState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.table.Load()
	s.stale++
	if s.stale > staleBase+len(current.nodes)/8 {
		s.stale = 0
		s.table.Store(newTable(current.nodes))
		return
	}
	joined := after.Report.Model
	if slices.Contains(servedModels(before), joined) {
		return
	}
	var members []*node
	for _, n := range current.nodes {
		if slices.Contains(servedModels(n.state.Load()), joined) {
			members = append(members, n)
		}
	}
	next := *current
	next.models = maps.Clone(current.models)
	next.models[joined] = newRing(members)
	s.table.Store(&next)
}

// Sent notes that the request was sent as decided. The prompt is expected in the caches
// of the engines that compute it.
func (s *Store) Sent(now core.Instant, req *core.Request, decision core.Decision) {
	tokens := max(0, req.PromptTokens-decision.Estimate.PrefixTokens)
	if decision.Prefill != "" {
		s.sendTo(now, decision.Prefill, req, tokens, 0)
		tokens = 0
	}
	s.sendTo(now, decision.Target, req, tokens, 1)
}

func (s *Store) sendTo(now core.Instant, id core.TargetID, req *core.Request, tokens, inFlight int) {
	n, ok := s.table.Load().nodes[id]
	if !ok {
		return
	}
	n.sent(now, tokens, inFlight, int(s.instances.Load()), req.Kind.Urgent)
	if req.Service == "" {
		s.hints.Sent(n.state.Load().Index, req.PrefixBlocks)
	}
}

// Finished notes the end of a request, once per call of Sent, in whatever way it ended.
func (s *Store) Finished(now core.Instant, decision core.Decision) {
	if n, ok := s.table.Load().nodes[decision.Target]; ok {
		n.finished(now, int(s.instances.Load()))
	}
}

// Observe learns the target's rates from an answer.
func (s *Store) Observe(id core.TargetID, observed estimate.Observation) {
	if n, ok := s.table.Load().nodes[id]; ok {
		n.update(func(state *core.TargetState) { estimate.Learn(state, observed) })
	}
}

// SetCircuit notes whether the circuit towards the target is open.
func (s *Store) SetCircuit(id core.TargetID, open bool) {
	if n, ok := s.table.Load().nodes[id]; ok {
		n.update(func(state *core.TargetState) { state.CircuitOpen = open })
	}
}

// SetDrained sets which targets receive no new work; all others receive some again.
func (s *Store) SetDrained(drained map[core.TargetID]bool) {
	for id, n := range s.table.Load().nodes {
		if n.state.Load().Drained != drained[id] {
			n.update(func(state *core.TargetState) { state.Drained = drained[id] })
		}
	}
}

// CacheEvents takes over cache events of an engine, in the order of their sequence.
func (s *Store) CacheEvents(id core.TargetID, events []core.CacheEvent) {
	if n, ok := s.table.Load().nodes[id]; ok {
		s.hints.ApplyEvents(n.state.Load().Index, events)
	}
}

// ForgetPrefixes drops what is known about an engine's cache, as after its restart.
func (s *Store) ForgetPrefixes(id core.TargetID) {
	if n, ok := s.table.Load().nodes[id]; ok {
		s.hints.RemoveTarget(n.state.Load().Index)
	}
}

// State returns what is known about a target.
func (s *Store) State(id core.TargetID) (core.TargetState, bool) {
	n, ok := s.table.Load().nodes[id]
	if !ok {
		return core.TargetState{}, false
	}
	return *n.state.Load(), true
}

// States returns what is known about all targets, in no particular order.
func (s *Store) States() []core.TargetState {
	nodes := s.table.Load().nodes
	result := make([]core.TargetState, 0, len(nodes))
	for _, n := range nodes {
		result = append(result, *n.state.Load())
	}
	return result
}
