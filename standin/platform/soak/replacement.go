package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"gorseline/core/common/pause"
)

// setPrevious sets whether the next processes of the instance run the previous build.
func (inst *instance) setPrevious(isPrevious bool) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.isPrevious = isPrevious
}

// program returns the command that starts a process. The lock must be held.
func (inst *instance) program() []string {
	if inst.isPrevious {
		return inst.previous
	}
	return inst.command
}

// runReplacements replaces the instances of the previous build one after the other. In half of the seeds
// one instance goes back to it in between, as in a release that is interrupted.
func (s *soak) runReplacements(ctx context.Context, rng *rand.Rand) {
	step := s.options.FaultDuration / time.Duration(len(s.instances)+2)
	backAt := -1
	if rng.IntN(2) == 0 {
		backAt = len(s.instances) / 2
	}
	for i, inst := range s.instances {
		if !pause.For(ctx, step) {
			return
		}
		s.replace(inst, false)
		if i == backAt {
			s.replace(s.instances[0], true)
			defer s.replace(s.instances[0], false)
		}
	}
}

// replace stops an instance and starts it with the previous or the present build.
func (s *soak) replace(inst *instance, isPrevious bool) {
	inst.setPrevious(isPrevious)
	inst.stop(syscall.SIGTERM)
	s.start(inst)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = append(s.replaced, fmt.Sprintf("%.1fs %s previous=%v", time.Since(s.started).Seconds(), inst.name, isPrevious))
}
