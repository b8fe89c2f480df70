package node

import (
	"syscall"
	"testing"
	"time"
)

// BenchmarkIdle reports the CPU time of three idle instances, their stand-ins included, as
// a share of a core per instance. The goal is 0.5%.
func BenchmarkIdle(b *testing.B) {
	s := newSite(b)
	for _, name := range []string{"n1", "n2", "n3"} {
		s.start(name)
	}
	const length = 10 * time.Second
	for b.Loop() {
		var before, after syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
			b.Fatal(err)
		}
		time.Sleep(length)
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
			b.Fatal(err)
		}
		used := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
		b.ReportMetric(100*used.Seconds()/length.Seconds()/3, "%core/instance")
	}
}
