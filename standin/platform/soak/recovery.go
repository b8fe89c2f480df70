package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"gorseline/core/common/pause"
)

// waitFor calls check until it returns nil or the limit has passed. It returns the last result.
func (s *soak) waitFor(ctx context.Context, limit time.Duration, check func(context.Context) error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check(ctx)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

// probeAll sends one request on each fixed route to each instance. It returns an error unless
// all are answered with status 200.
func (s *soak) probeAll(ctx context.Context) error {
	for _, inst := range s.instances {
		for _, route := range []string{"once", "safe", "stream", "single"} {
			id := fmt.Sprintf("probe-%d-%s-%s", time.Now().UnixNano(), inst.name, route)
			if r := s.callers.send(ctx, inst, route, id, 10); r.err != nil || r.status != 200 {
				return errors.Errorf("%s: /%s/ answered %d, error %v", inst.name, route, r.status, r.err)
			}
		}
	}
	return nil
}

// checkRecovery checks that all routes work after the last fault has ended, and that all
// instances then apply a new configuration in time. It returns the violations.
func (s *soak) checkRecovery(ctx context.Context) []string {
	var violations []string
	if err := s.waitFor(ctx, recoveryTimeout, s.probeAll); err != nil {
		return append(violations, fmt.Sprintf("not all routes work %v after the last fault: %v", recoveryTimeout, err))
	}
	// The limit applies to instances that have been undisturbed for contact_ms, 3 s.
	pause.For(ctx, 3*time.Second)
	s.recordError(s.testbed.configure())
	version := fmt.Sprintf("v%d", s.testbed.newestVersion())
	err := s.waitFor(ctx, applyTimeout, func(ctx context.Context) error {
		for _, inst := range s.instances {
			id := fmt.Sprintf("apply-%d-%s", time.Now().UnixNano(), inst.name)
			if r := s.callers.send(ctx, inst, version, id, 0); r.status == 404 {
				return errors.Errorf("%s answers 404 for the route /%s/", inst.name, version)
			}
		}
		return nil
	})
	if err != nil {
		violations = append(violations, fmt.Sprintf("configuration not applied after %v: %v", applyTimeout, err))
	}
	return violations
}
