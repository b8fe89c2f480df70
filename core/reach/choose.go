package reach

import (
	"sync"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
)

// avoidTime is how long an instance is avoided that didn't take a request, or not for its service.
const avoidTime = time.Second

// Detours chooses the instances through which requests take a detour. It is safe for concurrent use.
type Detours struct {
	home   core.DataCentre
	random *random.Source

	mu sync.Mutex
	// running counts the requests that are at an instance now, by its address.
	running map[string]int
	avoided map[avoidance]core.Instant
}

// avoidance identifies an instance that is avoided for a service.
type avoidance struct {
	address string
	service core.Service
}

// NewDetours returns a Detours of an instance in a data centre.
func NewDetours(home core.DataCentre, r *random.Source) *Detours {
	return &Detours{home: home, random: r, running: map[string]int{}, avoided: map[avoidance]core.Instant{}}
}

// Choose returns the address of an instance, the less used of two random ones, or false if there is
// none. It prefers the local data centre unless most instances there are cut off or avoided, which
// would leave few to carry all.
func (d *Detours) Choose(now core.Instant, service core.Service, peers []core.DetourPeer, tried map[string]bool) (address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var local, all []string
	others := 1 // local ones that can't help, with this one
	for i := range peers {
		p := &peers[i]
		isLocal := p.DataCentre == d.home
		if tried[p.Address] || p.IsCut || d.isAvoided(now, avoidance{p.Address, service}) {
			if isLocal {
				others++
			}
			continue
		}
		all = append(all, p.Address)
		if isLocal {
			local = append(local, p.Address)
		}
	}
	if len(local) >= others {
		all = local
	}
	if len(all) == 0 {
		return "", false
	}
	address = all[d.random.IntN(len(all))]
	if other := all[d.random.IntN(len(all))]; d.running[other] < d.running[address] {
		address = other
	}
	return address, true
}

func (d *Detours) isAvoided(now core.Instant, a avoidance) bool {
	until, ok := d.avoided[a]
	if ok && now >= until {
		delete(d.avoided, a)
		return false
	}
	return ok
}

// Start counts a request that is sent to an instance. The returned function must be called at its end.
func (d *Detours) Start(address string) (finish func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[address]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.running[address]--; d.running[address] == 0 {
			delete(d.running, address)
		}
	}
}

// Avoid keeps requests for a service from an instance for a while.
func (d *Detours) Avoid(now core.Instant, address string, service core.Service) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[avoidance{address, service}] = now.Add(avoidTime)
}
