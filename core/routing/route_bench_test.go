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

// benchRoute measures decisions for prompts of 128 blocks whose shared guidance is held
// by some engines. probe is the number of candidates looked at first; tight makes every
// deadline unreachable, so that the whole subset is looked at.
func benchRoute(b *testing.B, targets, probe int, tight bool) {
	store := loaded(targets)
	requests := dossiers(1024, 50)
	warm(store, requests[:256])
	if tight {
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
// than with 14. It alternates between the two, so that other work on the machine slows
// both alike, and reports the median of the ratios.
func BenchmarkFullRatio(b *testing.B) {
	const batch = 512
	requests := dossiers(1024, 50)
	router := routing.NewFull(routing.DefaultFullOptions(), random.New(7))
	stores := []*routing.Store{loaded(14), loaded(4500)}
	for _, store := range stores {
		warm(store, requests[:256])
	}
	var ratios []float64
	for b.Loop() {
		var took [2]time.Duration
		for i, store := range stores {
			begun := time.Now()
			for _, req := range requests[:batch] {
				router.Route(core.Instant(2*time.Second), req, store)
			}
			took[i] = time.Since(begun)
		}
		ratios = append(ratios, float64(took[1])/float64(took[0]))
	}
	slices.Sort(ratios)
	b.ReportMetric(ratios[len(ratios)/2], "ratio")
}

func BenchmarkFullParallel(b *testing.B) {
	store := loaded(4500)
	requests := dossiers(1024, 50)
	warm(store, requests[:256])
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
	store := loaded(4500)
	requests := dossiers(1024, 50)
	for name, router := range routers {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				router.Route(core.Instant(2*time.Second), requests[i%len(requests)], store)
			}
		})
	}
}

// BenchmarkSent measures what a send costs, with the hints of 128 blocks.
func BenchmarkSent(b *testing.B) {
	store := loaded(4500)
	requests := dossiers(1024, 50)
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
