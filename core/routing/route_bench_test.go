package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gorseline/core"
	"gorseline/core/common/random"
	"gorseline/core/routing"
)

// benchRoute measures decisions for prompts of 128 blocks whose shared prefix some engines
// have cached. probe is the number of candidates considered first. If unreachable is set,
// no target can meet a deadline, so that decisions consider the whole subset.
func benchRoute(b *testing.B, targets, probe int, unreachable bool) {
	store := loadedStore(targets)
	requests := sharedPrefixRequests(1024, 50)
	fillIndex(store, requests[:256])
	if unreachable {
		for _, req := range requests {
			req.Deadline = req.Arrived.Add(time.Millisecond)
		}
	}
	options := routing.DefaultFullOptions()
	options.Probe = probe
	router := routing.NewFull(options, random.New(7))
	now := core.Instant(2 * time.Second)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		router.Route(now, requests[i%len(requests)], store)
		i++
	}
}

func BenchmarkFull(b *testing.B) {
	for _, targets := range []int{14, 64, 4500} {
		b.Run(fmt.Sprintf("Probe/targets=%d", targets), func(b *testing.B) {
			benchRoute(b, targets, routing.DefaultProbe, false)
		})
		b.Run(fmt.Sprintf("Subset/targets=%d", targets), func(b *testing.B) {
			benchRoute(b, targets, routing.MaxCandidates, false)
		})
		b.Run(fmt.Sprintf("Unreachable/targets=%d", targets), func(b *testing.B) {
			benchRoute(b, targets, routing.DefaultProbe, true)
		})
	}
}

// BenchmarkFullRatio measures how much longer a decision takes with 4,500 known targets
// than with 14. It alternates between the two, so that other load on the machine affects
// both alike, and reports the median ratio.
func BenchmarkFullRatio(b *testing.B) {
	const batch = 512
	requests := sharedPrefixRequests(1024, 50)
	router := routing.NewFull(routing.DefaultFullOptions(), random.New(7))
	stores := []*routing.Store{loadedStore(14), loadedStore(4500)}
	for _, store := range stores {
		fillIndex(store, requests[:256])
	}
	var ratios []float64
	for b.Loop() {
		var took [2]time.Duration
		for i, store := range stores {
			started := time.Now()
			for _, req := range requests[:batch] {
				router.Route(core.Instant(2*time.Second), req, store)
			}
			took[i] = time.Since(started)
		}
		ratios = append(ratios, float64(took[1])/float64(took[0]))
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "ratio")
}

func BenchmarkFullParallel(b *testing.B) {
	store := loadedStore(4500)
	requests := sharedPrefixRequests(1024, 50)
	fillIndex(store, requests[:256])
	router := routing.NewFull(routing.DefaultFullOptions(), random.New(7))
	now := core.Instant(2 * time.Second)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			router.Route(now, requests[i%len(requests)], store)
		}
	})
}

func BenchmarkSimple(b *testing.B) {
	routers := map[string]core.Router{
		"RoundRobin":   routing.NewRoundRobin(),
		"LeastLoaded":  routing.NewLeastLoaded(random.New(7)),
		"PrefixAffine": routing.NewPrefixAffine(1.25),
	}
	store := loadedStore(4500)
	requests := sharedPrefixRequests(1024, 50)
	for name, router := range routers {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				router.Route(core.Instant(2*time.Second), requests[i%len(requests)], store)
			}
		})
	}
}

// BenchmarkSent measures the cost of recording a send, including 128 blocks in the prefix
// index.
func BenchmarkSent(b *testing.B) {
	store := loadedStore(4500)
	requests := sharedPrefixRequests(1024, 50)
	router := routing.NewFull(routing.DefaultFullOptions(), random.New(7))
	now := core.Instant(2 * time.Second)
	decisions := make([]core.Decision, len(requests))
	for i, req := range requests {
		decisions[i] = router.Route(now, req, store)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		store.Sent(now, requests[i%len(requests)], decisions[i%len(requests)])
	}
}
