package routing

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"gorseline/core"
	"gorseline/core/estimate"
)

// Store holds the state of the targets that an instance knows. It is safe for concurrent
// use. Lookups of candidates take no lock and don't allocate.
type Store struct {
	table    atomic.Pointer[table]
	prefixes *PrefixIndex
	// instances is the number of instances that send to the same targets, at least 1.
	instances atomic.Int64
	// mutex serialises changes of the table and guards the fields below.
	mutex sync.Mutex
	// nextSlot is the lowest slot that was never allocated, freeSlots are those of removed
	// targets.
	nextSlot  uint32
	freeSlots []uint32
	// modelChanges counts the model changes of engines since all rings were last rebuilt.
	modelChanges int
}

// minRebuildChanges is the number of model changes after which the rings of a small fleet
// are rebuilt. For larger fleets an eighth of the number of targets is added.
const minRebuildChanges = 16

var _ PrefixFleet = (*Store)(nil)

// table is an immutable view of the targets.
type table struct {
	nodes    map[core.TargetID]*node
	models   map[core.Model]*ring
	services map[core.Service]*ring
	// modelNames interns the model names. Decisions compare the models of many targets, and
	// sharing one copy of each name saves space in the processor's cache.
	modelNames map[core.Model]core.Model
}

// StoreOptions are the settings of a store.
type StoreOptions struct {
	// IndexBlocks is the maximum number of prompt blocks in the prefix index, counted once
	// per target that holds them; 0 means DefaultIndexBlocks.
	IndexBlocks int
}

// NewStore returns a store without targets.
func NewStore(options StoreOptions) *Store {
	s := &Store{prefixes: NewPrefixIndex(options.IndexBlocks)}
	s.table.Store(&table{nodes: map[core.TargetID]*node{}})
	s.instances.Store(1)
	return s
}

// SetInstances sets the number of instances that send to the same targets. A request that
// this instance sends after a load report counts once for each of them: they find the same
// candidates and see the same report, and would otherwise overload a target that looks
// idle.
func (s *Store) SetInstances(n int) { s.instances.Store(int64(max(1, n))) }

// Candidates implements core.Fleet.
func (s *Store) Candidates(req *core.Request, dst []*core.TargetState) []*core.TargetState {
	current := s.table.Load()
	var r *ring
	if req.Service != "" {
		r = current.services[req.Service]
	} else {
		r = current.models[req.Model]
	}
	if r == nil {
		return dst
	}
	return r.walk(req, dst)
}

// PrefixHits implements PrefixFleet.
func (s *Store) PrefixHits(req *core.Request, candidates []*core.TargetState, hits []int) {
	s.prefixes.Hits(req, candidates, hits)
}

// SetTargets replaces the set of targets. It keeps the state of targets that remain in the
// set.
func (s *Store) SetTargets(targets []core.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	existing := s.table.Load().nodes
	nodes := make(map[core.TargetID]*node, len(targets))
	for _, target := range targets {
		n, ok := existing[target.ID]
		if !ok {
			n = newNode(target, s.allocateSlot())
		} else {
			n.update(func(state *core.TargetState) { state.Target = target })
		}
		nodes[target.ID] = n
	}
	for id, n := range existing {
		if _, kept := nodes[id]; !kept {
			slot := n.state.Load().Index
			s.prefixes.RemoveTarget(slot)
			s.freeSlots = append(s.freeSlots, slot)
		}
	}
	s.modelChanges = 0
	s.table.Store(newTable(nodes))
}

// allocateSlot returns a free slot. Slots are reused so that bitmaps of slots stay small.
func (s *Store) allocateSlot() uint32 {
	if last := len(s.freeSlots) - 1; last >= 0 {
		slot := s.freeSlots[last]
		s.freeSlots = s.freeSlots[:last]
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
		nodes:      nodes,
		models:     map[core.Model]*ring{},
		services:   map[core.Service]*ring{},
		modelNames: map[core.Model]core.Model{},
	}
	for model, members := range models {
		t.modelNames[model] = model
		t.models[model] = newRing(members)
	}
	for service, members := range services {
		t.services[service] = newRing(members)
	}
	return t
}

// servedModels returns the model that the engine has reported, or else all models that it
// may load.
func servedModels(state *core.TargetState) []core.Model {
	if state.Report.Model != "" {
		return []core.Model{state.Report.Model}
	}
	return state.Models
}

// Report applies a target's load report, which arrived at the time now. Reports may arrive
// late and out of order. It returns false for an unknown target.
func (s *Store) Report(now core.Instant, id core.TargetID, report core.LoadReport) bool {
	current := s.table.Load()
	n, ok := current.nodes[id]
	if !ok {
		return false
	}
	if name, ok := current.modelNames[report.Model]; ok {
		report.Model = name
	}
	before, after := n.report(now, report)
	if before.Report.Model != after.Report.Model && after.IsEngine() {
		s.modelChanged(before, after)
	}
	return true
}

// modelChanged updates the rings after an engine has changed its model. Only the ring of the
// new model is rebuilt at once. Walks skip the engine in the rings of its former models, so
// these rings are rebuilt together after a number of model changes.
func (s *Store) modelChanged(before, after *core.TargetState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.table.Load()
	s.modelChanges++
	if s.modelChanges > minRebuildChanges+len(current.nodes)/8 {
		s.modelChanges = 0
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

// Sent records that the request was sent as decided. The prompt is then expected in the
// caches of the decision's engines.
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
		s.prefixes.Sent(n.state.Load().Index, req.PrefixBlocks)
	}
}

// Finished records the end of a request, whether it succeeded or not. It must be called
// once per call of Sent.
func (s *Store) Finished(now core.Instant, decision core.Decision) {
	if n, ok := s.table.Load().nodes[decision.Target]; ok {
		n.finished(now, int(s.instances.Load()))
	}
}

// Observe updates the estimated rates of a target with an answer.
func (s *Store) Observe(id core.TargetID, observed estimate.Observation) {
	if n, ok := s.table.Load().nodes[id]; ok {
		n.update(func(state *core.TargetState) { estimate.Learn(state, observed) })
	}
}

// SetCircuit sets whether the target's circuit breaker is open.
func (s *Store) SetCircuit(id core.TargetID, open bool) {
	if n, ok := s.table.Load().nodes[id]; ok {
		n.update(func(state *core.TargetState) { state.CircuitOpen = open })
	}
}

// SetDrained sets which targets are drained, that is, receive no new work. All others
// receive work again.
func (s *Store) SetDrained(drained map[core.TargetID]bool) {
	for id, n := range s.table.Load().nodes {
		if n.state.Load().Drained != drained[id] {
			n.update(func(state *core.TargetState) { state.Drained = drained[id] })
		}
	}
}

// CacheEvents applies cache events of an engine, which must be in sequence order.
func (s *Store) CacheEvents(id core.TargetID, events []core.CacheEvent) {
	if n, ok := s.table.Load().nodes[id]; ok {
		s.prefixes.ApplyEvents(n.state.Load().Index, events)
	}
}

// ClearPrefixes removes an engine from the prefix index, for example after it has
// restarted.
func (s *Store) ClearPrefixes(id core.TargetID) {
	if n, ok := s.table.Load().nodes[id]; ok {
		s.prefixes.RemoveTarget(n.state.Load().Index)
	}
}

// State returns the state of a target, and false if it is unknown.
func (s *Store) State(id core.TargetID) (core.TargetState, bool) {
	n, ok := s.table.Load().nodes[id]
	if !ok {
		return core.TargetState{}, false
	}
	return *n.state.Load(), true
}

// States returns the states of all targets, in no particular order.
func (s *Store) States() []core.TargetState {
	nodes := s.table.Load().nodes
	result := make([]core.TargetState, 0, len(nodes))
	for _, n := range nodes {
		result = append(result, *n.state.Load())
	}
	return result
}
