package routing_test

import (
	"fmt"
	"math/rand"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/routing"
)

const model = core.Model("underwriting")

func engines(n int) []core.Target {
	result := make([]core.Target, n)
	for i := range result {
		result[i] = core.Target{
			ID:     core.TargetID(fmt.Sprintf("engine-%04d", i)),
			Models: []core.Model{model},
			Role:   core.RoleMixed,
		}
	}
	return result
}

// loadedStore returns a store of n engines with random loads, reported at time 1 s.
func loadedStore(n int) *routing.Store {
	source := rand.New(rand.NewSource(7))
	store := routing.NewStore(routing.StoreOptions{})
	store.SetTargets(engines(n))
	for _, target := range engines(n) {
		store.Report(core.Instant(time.Second), target.ID, core.LoadReport{
			Running:            source.Intn(20),
			QueuedRequests:     source.Intn(3),
			QueuedPromptTokens: source.Intn(4000),
			KVUsed:             source.Intn(100_000),
			KVCapacity:         200_000,
			Role:               core.RoleMixed,
			Model:              model,
		})
	}
	return store
}

// sharedPrefixRequests returns requests of several organisations. The prompts of one
// organisation share a prefix of 32 blocks, which is followed by 96 blocks per request.
func sharedPrefixRequests(n, organisations int) []*core.Request {
	source := rand.New(rand.NewSource(7))
	result := make([]*core.Request, n)
	for i := range result {
		org := source.Intn(organisations)
		blocks := make([]uint64, 128)
		for b := range blocks {
			blocks[b] = random.Mix(uint64(org)<<32 | uint64(b))
			if b >= 32 {
				blocks[b] = random.Mix(blocks[b] ^ uint64(i+1)<<16)
			}
		}
		result[i] = &core.Request{
			Organisation: core.Organisation(fmt.Sprintf("org-%d", org)),
			Kind:         core.Kind{Name: "Dossier", Weight: 1, Deadline: time.Minute, Repeatable: true},
			Model:        model,
			PromptTokens: 128 * core.PrefixBlockTokens,
			OutputTokens: 200,
			PrefixBlocks: blocks,
			Arrived:      core.Instant(2 * time.Second),
			Deadline:     core.Instant(time.Minute),
		}
	}
	return result
}

// fillIndex routes and sends the requests once, so that the prefix index has their blocks.
func fillIndex(store *routing.Store, requests []*core.Request) {
	router := routing.NewFull(routing.DefaultFullOptions(), random.New(1))
	now := core.Instant(2 * time.Second)
	for _, req := range requests {
		decision := router.Route(now, req, store)
		store.Sent(now, req, decision)
		store.Finished(now, decision)
	}
}
