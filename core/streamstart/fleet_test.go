package streamstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gorseline/core"
)

const (
	simService = core.Service("chat")
	simTick    = 100 * time.Millisecond
	simTimeout = 20 * time.Second
	simWindow  = 2*simTimeout + windowSlack
	// simStart is how long an instance must have run to know the versions of earlier streams.
	simStart = defaultWindow + windowSlack
	// simConfirmation is the time between two confirmations of an unchanged view.
	simConfirmation = 1500 * time.Millisecond
	// simDetection is how long a dead instance stays in the views of the others.
	simDetection = 5 * time.Second
)

var simConfiguration = &core.Forwarding{Routes: []core.Route{{
	Host: "h", Prefix: "/", Resumable: true, Timeout: simTimeout, Splits: []core.Split{{Service: simService, Weight: 1}},
}}}

// simInstance is one process of the simulated fleet.
type simInstance struct {
	id       core.InstanceID
	dc       core.DataCentre
	register *Register
	homes    *Homes
	alive    bool
	diedAt   core.Instant
	// side is the side of a partition that the instance is on.
	side int
	// frozenAt is the time of the last view of an instance that is cut off from the store.
	isCut    bool
	frozenAt core.Instant
	lag      time.Duration
}

type simStream struct {
	id       core.RequestID
	version  core.SoftwareVersion
	relay    *simInstance
	began    core.Instant
	deadline core.Instant
}

type simLookup struct {
	stream  *simStream
	at      *simInstance
	arrived core.Instant
}

// simFleet runs the registers of a fleet in virtual time.
type simFleet struct {
	t         *testing.T
	rng       *rand.Rand
	now       core.Instant
	instances []*simInstance
	// versions holds, for each tick, the versions that targets run.
	versions [][]core.SoftwareVersion
	streams  []*simStream
	lookups  []simLookup
	loss     float64
	// published counts records sent, resumed the lookups at instances in touch, and known those
	// of them that were answered.
	published, resumed, known int
	results                   map[Result]int
	nextID                    int
	// settledAt is the time from which on the members are the same in all views.
	settledAt core.Instant
	// splitAt is the time of the last partition.
	splitAt   core.Instant
	byAddress map[string]*simInstance
}

func newSimFleet(t *testing.T, count, dataCentres int, seed uint64) *simFleet {
	f := &simFleet{t: t, rng: rand.New(rand.NewPCG(seed, 7)), loss: 0.01, results: map[Result]int{}, byAddress: map[string]*simInstance{}}
	for i := range count {
		f.instances = append(f.instances, &simInstance{
			id: core.InstanceID(fmt.Sprintf("n%d", i)), dc: core.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)),
			register: New(1 << 14), alive: true, lag: time.Duration(f.rng.IntN(80)) * time.Millisecond,
		})
		f.byAddress[string(f.instances[i].id)] = f.instances[i]
	}
	f.versions = [][]core.SoftwareVersion{{"v1"}}
	return f
}

func (f *simFleet) present() []core.SoftwareVersion { return f.versions[len(f.versions)-1] }

// viewAt returns the versions that an instance sees.
func (f *simFleet) viewAt(i *simInstance) (core.Instant, []core.SoftwareVersion) {
	at := max(0, f.now.Add(-i.lag))
	if i.isCut {
		at = i.frozenAt
	}
	// Rounded up, so that an instance sees a change within its lag.
	return at, f.versions[min(int((at+core.Instant(simTick)-1)/core.Instant(simTick)), len(f.versions)-1)]
}

func (f *simFleet) updatePeers(i *simInstance) {
	var peers []Peer
	if i.homes != nil && f.now >= f.settledAt {
		return
	}
	for _, p := range f.instances {
		isLost := !p.alive && f.now.Sub(p.diedAt) >= simDetection
		isSplit := p.side != i.side && f.now.Sub(f.splitAt) >= simDetection
		if p == i || isLost || isSplit {
			continue
		}
		peers = append(peers, Peer{ID: p.id, DataCentre: p.dc, Address: string(p.id)})
	}
	i.homes = NewHomes(i.dc, peers)
}

func (f *simFleet) observe(i *simInstance) { f.observeAsOf(i, false) }

// observeAsOf makes an instance observe its view, which isConfirming confirms up to now.
func (f *simFleet) observeAsOf(i *simInstance, isConfirming bool) {
	asOf, versions := f.viewAt(i)
	if isConfirming && !i.isCut {
		asOf, versions = f.now, f.present()
	} else {
		asOf -= asOf % core.Instant(simConfirmation)
	}
	_, records := i.register.Observe(f.now, Observation{
		AsOf: asOf, IsConfirmed: true, Configuration: simConfiguration,
		Versions: map[core.Service][]core.SoftwareVersion{simService: versions},
	})
	for _, r := range records {
		f.publish(i, r)
	}
}

func (f *simFleet) publish(from *simInstance, r Record) {
	for _, home := range from.homes.Of(r.Request) {
		f.published++
		if to := f.find(home); to.alive && to.side == from.side && f.rng.Float64() >= f.loss {
			to.register.Hold(f.now, r)
		}
	}
}

func (f *simFleet) find(p Peer) *simInstance {
	return f.byAddress[p.Address]
}

func (f *simFleet) alive() []*simInstance {
	var list []*simInstance
	for _, i := range f.instances {
		if i.alive {
			list = append(list, i)
		}
	}
	return list
}

// begin starts a stream at an instance.
func (f *simFleet) begin(i *simInstance) {
	_, versions := f.viewAt(i)
	if len(versions) == 0 {
		return
	}
	f.nextID++
	s := &simStream{
		id: core.RequestID(fmt.Sprintf("r%d", f.nextID)), version: versions[f.rng.IntN(len(versions))], began: f.now,
		deadline: f.now.Add(time.Second + time.Duration(f.rng.Int64N(int64(2*simTimeout-time.Second)))),
	}
	f.streams = append(f.streams, s)
	f.relay(i, s)
}

// relay makes an instance relay a stream.
func (f *simFleet) relay(i *simInstance, s *simStream) {
	s.relay = i
	start := core.StreamStart{Service: simService, Request: s.id, Version: s.version, Deadline: s.deadline}
	if r, ok := i.register.Start(f.now, start); ok {
		f.publish(i, r)
	}
}

// run advances the fleet.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; {
		f.advance()
		for _, i := range f.alive() {
			if f.rng.Float64() < 0.3 {
				f.begin(i)
			}
		}
		due := f.lookups
		f.lookups = nil
		for _, l := range due {
			f.finish(l)
		}
		f.streams = slices.DeleteFunc(f.streams, func(s *simStream) bool { return s.deadline <= f.now })
	}
}

// kill ends instances, whose streams are continued at others. Those of a fleet without instances
// end.
func (f *simFleet) kill(killed ...*simInstance) {
	f.settledAt = f.now.Add(simDetection + 2*simTick)
	for _, i := range killed {
		i.alive, i.diedAt = false, f.now
	}
	alive := f.alive()
	for _, s := range f.streams {
		if !s.relay.alive && s.relay.diedAt == f.now && len(alive) > 0 {
			f.lookups = append(f.lookups, simLookup{s, alive[f.rng.IntN(len(alive))], f.now})
		}
	}
}

// restart starts a dead instance without its memory.
func (f *simFleet) restart(i *simInstance) {
	f.settledAt = max(f.settledAt, f.now.Add(2*simTick))
	i.alive, i.isCut, i.side, i.register = true, false, 0, New(1<<14)
}

// finish looks a stream up, 100 ms after the caller has come.
func (f *simFleet) finish(l simLookup) {
	i, hash := l.at, HashRequest(l.stream.id)
	if !i.alive || l.stream.deadline <= f.now {
		return
	}
	candidates := i.homes.Candidates(hash)
	var answers []Evidence
	hasAnswered := map[Peer]bool{}
	for _, candidate := range candidates {
		c := f.find(candidate)
		if c.alive && c.side == i.side && f.rng.Float64() >= f.loss {
			f.observe(c)
			hasAnswered[candidate] = true
			answers = append(answers, c.register.Evidence(f.now, simService, hash))
		}
	}
	isSufficient := i.homes.Suffice(candidates, func(p Peer) bool { return hasAnswered[p] })
	if !isSufficient {
		f.observeAsOf(i, true)
	}
	tag, result := Decide(l.arrived, i.register.Evidence(f.now, simService, hash), answers, isSufficient)
	f.results[result]++
	// Streams of a version that no target runs can't be continued.
	isInTouch := !i.isCut && i.side == 0 && slices.Contains(f.present(), l.stream.version)
	if isInTouch {
		f.resumed++
	}
	if !result.IsFound() {
		return
	}
	version, seen := i.register.Version(simService, tag)
	if !seen {
		return
	}
	if version != l.stream.version {
		f.t.Errorf("%v: %s answers %s (%s) for a stream that began at %s at %v", time.Duration(f.now), i.id, version, result,
			l.stream.version, time.Duration(l.stream.began))
	}
	if isInTouch {
		f.known++
	}
	f.relay(i, l.stream)
}

// advance moves on by one tick, in which all instances observe the targets.
func (f *simFleet) advance() {
	f.now = f.now.Add(simTick)
	f.versions = append(f.versions, f.present())
	for _, i := range f.alive() {
		f.updatePeers(i)
		f.observe(i)
	}
}

// settle runs until the single version is covered, at last with streams.
func (f *simFleet) settle() {
	for end := f.now.Add(simStart - simWindow); f.now < end; {
		f.advance()
	}
	f.run(simWindow + 2*time.Second)
}

func (f *simFleet) pick(count int) []*simInstance {
	alive := f.alive()
	f.rng.Shuffle(len(alive), func(a, b int) { alive[a], alive[b] = alive[b], alive[a] })
	return alive[:min(count, len(alive))]
}

func (f *simFleet) setVersions(versions ...core.SoftwareVersion) {
	f.versions[len(f.versions)-1] = versions
}

// randomEvent changes versions, instances, links or the store at random.
func (f *simFleet) randomEvent() {
	switch f.rng.IntN(5) {
	case 0:
		all := []core.SoftwareVersion{"v1", "v2", "v3"}
		f.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
		f.setVersions(all[:1+f.rng.IntN(2)]...)
	case 1:
		if len(f.alive()) > 3 {
			f.kill(f.pick(1 + f.rng.IntN(2))...)
		}
	case 2:
		for _, i := range f.instances {
			if !i.alive {
				f.restart(i)
			}
		}
	case 3:
		side := f.rng.IntN(2)
		f.splitAt, f.settledAt = f.now, f.now.Add(simDetection+2*simTick)
		for _, i := range f.pick(2) {
			i.side = side
			if !i.isCut {
				i.isCut, i.frozenAt = true, f.now.Add(-i.lag)
			}
		}
	default:
		f.settledAt = f.now.Add(2 * simTick)
		for _, i := range f.instances {
			i.isCut, i.side = false, 0
		}
	}
}
