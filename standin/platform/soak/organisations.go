package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// publicRoute is the route that needs no key.
const publicRoute = "safe"

// keyApplyTime is config_apply_ms in the settings of the instances: the time in which a new configuration
// must come into force. It equals applyTimeout, which bounds the same time for new routes, and is below
// contactTime, so that it has passed for an instance that is undisturbed again.
const keyApplyTime = applyTimeout

// keyPrefix precedes the random part of all keys, also of those that no configuration contains, so that a
// key is recognised wherever it appears.
const keyPrefix = "soakkey-"

// organisationSettings returns the settings at the top and in the bounds that make instances expect
// organisations; both are empty without organisations.
func (o *Options) organisationSettings() (top, bounds string) {
	if o.Organisations == 0 {
		return "", ""
	}
	return "contracts = [\"base\", \"tenants\"]\n", fmt.Sprintf("config_apply_ms = %d\n", keyApplyTime.Milliseconds())
}

// organisations holds the organisations of the configuration, their keys and what callers send. A nil one
// stands for a configuration without organisations.
type organisations struct {
	names []string

	mu  sync.Mutex
	rng *rand.Rand
	// lasting holds the key of each organisation that is never dropped, changing the other keys in force,
	// dropped those that were in force, in order.
	lasting, changing, dropped []string
	history                    keyHistory
	sent                       []keyedRequest
}

// credentials are what a caller sends besides its request to state who it is.
type credentials struct {
	// key is the API key that the caller sends properly; empty if it sends none.
	key string
	// authorization holds the values of the header, forged the organisation that the caller states itself.
	// relayed is the value of the header between instances that the caller forges.
	authorization   []string
	forged, relayed string
}

// set adds the credentials to the header of a request.
func (c *credentials) set(header http.Header) {
	if c == nil {
		return
	}
	header["Authorization"] = c.authorization
	if c.forged != "" {
		header.Set("X-Tenant", c.forged)
	}
	if c.relayed != "" {
		header.Set("Gorseline-Detour", c.relayed)
		header.Set("Gorseline-Runs", "1")
	}
}

func newOrganisations(options *Options) *organisations {
	if options.Organisations == 0 {
		return nil
	}
	o := &organisations{rng: rand.New(rand.NewPCG(options.Seed, 12)), history: keyHistory{holders: map[string]string{}}}
	for i := range options.Organisations {
		name := fmt.Sprintf("org %d", i)
		o.names = append(o.names, name)
		o.lasting = append(o.lasting, o.newKey(name))
		o.changing = append(o.changing, o.newKey(name))
	}
	return o
}

// newKey returns a new key of an organisation. The lock must be held.
func (o *organisations) newKey(organisation string) string {
	key := randomKey(o.rng)
	o.history.holders[key] = organisation
	return key
}

// randomKey returns a key of a random length, so that some keys are longer than all others in force.
func randomKey(rng *rand.Rand) string {
	return keyPrefix + strings.Repeat("k", rng.IntN(12)) + fmt.Sprintf("%016x", rng.Uint64())
}

// configure adds the organisations to a configuration and makes one of its routes public. It returns the
// keys of the configuration.
func (o *organisations) configure(routes []operatorRoute, configuration map[string]any) (keys map[string]bool) {
	if o == nil {
		return nil
	}
	for i := range routes {
		routes[i].IsPublic = routes[i].Name == publicRoute
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	keys = map[string]bool{}
	held := map[string][]string{}
	for _, key := range slices.Concat(o.lasting, o.changing) {
		keys[key] = true
		held[o.history.holders[key]] = append(held[o.history.holders[key]], key)
	}
	tenants := []map[string]any{}
	for i, name := range o.names {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": held[name], "priority": i})
	}
	configuration["tenants"] = tenants
	return keys
}

// Parts of the changes of keys. The others add a key.
const (
	dropShare   = 0.5
	returnShare = 0.1
)

// change adds and drops some keys for the next configuration. Some dropped keys come back.
func (o *organisations) change(rng *rand.Rand) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for range 1 + rng.IntN(3) {
		switch share := rng.Float64(); {
		case share < dropShare && len(o.changing) > 1:
			i := rng.IntN(len(o.changing))
			o.dropped = append(o.dropped, o.changing[i])
			o.changing = slices.Delete(o.changing, i, i+1)
		case share > 1-returnShare && len(o.dropped) > 0:
			i := rng.IntN(len(o.dropped))
			o.changing = append(o.changing, o.dropped[i])
			o.dropped = slices.Delete(o.dropped, i, i+1)
		default:
			o.changing = append(o.changing, o.newKey(o.names[rng.IntN(len(o.names))]))
		}
	}
}

// replaceKey adds a key and drops the oldest of those that aren't lasting.
func (o *organisations) replaceKey() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.changing) > 1 {
		o.dropped = append(o.dropped, o.changing[0])
		o.changing = slices.Delete(o.changing, 0, 1)
	}
	o.changing = append(o.changing, o.newKey(o.names[o.rng.IntN(len(o.names))]))
}

// recordState records that the store holds a version of the configuration since a call that began at a
// time and has ended. keys is nil unless the version is new.
func (o *organisations) recordState(version int, keys map[string]bool, began time.Time) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if keys != nil {
		o.history.versions = append(o.history.versions, keyVersion{version, began, keys})
	}
	o.history.states = append(o.history.states, keyState{version, began, time.Now()})
}

// Shares of what callers send; the remainder sends a key in force.
const (
	droppedShare   = 0.20
	unknownShare   = 0.08
	missingShare   = 0.04
	malformedShare = 0.03
	forgedShare    = 0.25
	relayedShare   = 0.05
	// freshShare is the part of the keys in force that are of those added last, which instances may not know.
	freshShare = 0.4
	// recentChanges is the number of keys added or dropped last of which callers send one.
	recentChanges = 4
)

// draw returns what a caller sends with its next request, or nil without organisations.
func (o *organisations) draw(rng *rand.Rand) *credentials {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	inForce := slices.Concat(o.lasting, o.changing)
	known := inForce[rng.IntN(len(inForce))]
	if rng.Float64() < freshShare {
		fresh := inForce[max(0, len(inForce)-recentChanges):]
		known = fresh[rng.IntN(len(fresh))]
	}
	c := &credentials{key: known}
	share := rng.Float64()
	isSent := func(part float64) bool {
		share -= part
		return share < 0
	}
	switch {
	case isSent(droppedShare) && len(o.dropped) > 0:
		recent := o.dropped[max(0, len(o.dropped)-recentChanges):]
		c.key = recent[rng.IntN(len(recent))]
	case isSent(unknownShare):
		c.key = []string{randomKey(rng), known + "x", known[:len(known)-1], keyPrefix + strings.Repeat("k", 500)}[rng.IntN(4)]
	case isSent(missingShare):
		c.key = ""
	case isSent(malformedShare):
		c.key = ""
		c.authorization = [][]string{{"Basic " + known}, {"Bearer " + known, "Bearer " + known}, {known}, {"Bearer"}}[rng.IntN(4)]
	}
	if c.key != "" {
		c.authorization = []string{[]string{"Bearer ", "bearer ", "BEARER "}[rng.IntN(3)] + c.key}
	}
	if rng.Float64() < forgedShare {
		c.forged = o.names[rng.IntN(len(o.names))]
	}
	if rng.Float64() < relayedShare {
		digest := sha256.Sum256([]byte(known))
		c.relayed = "n0;key=" + hex.EncodeToString(digest[:16])
	}
	return c
}

// orLasting returns the given credentials, or ones with a key that is never dropped.
func (o *organisations) orLasting(c *credentials) *credentials {
	if o == nil || c != nil {
		return c
	}
	return &credentials{key: o.lasting[0], authorization: []string{"Bearer " + o.lasting[0]}}
}

// mayRun reports whether a request may run with its credentials in some version of the configuration.
func (o *organisations) mayRun(a *attempt) bool {
	if o == nil || a.route == publicRoute {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.holders[a.credentials.key] != ""
}

// record records a request with its outcome.
func (o *organisations) record(r *result, c *credentials) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent = append(o.sent, keyedRequest{
		id: r.id, route: r.route, instance: r.instance, key: c.key, started: r.started, finished: r.finished, status: r.status,
	})
}
