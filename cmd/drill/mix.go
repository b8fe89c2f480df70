package drill

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gorseline/cmd/workload"
	"gorseline/core"
	"gorseline/core/authority"
	"gorseline/core/common/pause"
	"gorseline/io/operator"
	"gorseline/standin/engine"
)

// Requests of the shifting mix. Each engine computes mixPrefillRate prompt tokens per
// second. The second part of the mix needs nine of the fourteen engines for prompts, but
// only seven start in that role.
const (
	mixRequests     = 420
	mixPromptTokens = 4000
	mixOutputTokens = 200
	mixPrefillRate  = 2500
)

// shiftMix replaces the requests of the sample by a third with short prompts and long
// answers, followed by two thirds with long prompts and short answers. It also lowers the
// price and the minimum interval of role changes.
func shiftMix(sample *workload.Sample, engines *engine.Options) {
	engines.PrefillRate = mixPrefillRate
	preset := sample.Configuration.Preset()
	preset.RoleChangePrice, preset.MinimumStay = 0.1, 5*time.Second
	sample.Configuration.Presets[preset.Name] = preset
	var base workload.Request
	for _, r := range sample.Requests {
		if r.Model != "" && r.MaxTokens >= mixOutputTokens {
			base = r
		}
	}
	sample.Requests = nil
	for i := range mixRequests {
		r := base
		r.Name = fmt.Sprintf("%s-%d", base.Name, i)
		if i < mixRequests/3 {
			r.Prompt, r.MaxTokens = fmt.Sprintf("short file %d", i), mixOutputTokens
		} else {
			r.Prompt, r.MaxTokens = fmt.Sprintf("file %d ", i)+strings.Repeat("invoice ", mixPromptTokens), 8
		}
		sample.Requests = append(sample.Requests, r)
	}
}

func noFailure(context.Context, *run) error { return nil }

// killDuringRoleChange kills the instance that holds the lease for the engines as soon as
// it has recorded the intent of an order. Its successor must complete the order.
func killDuringRoleChange(ctx context.Context, r *run) error {
	for {
		holder, err := r.leaseHolder(ctx)
		if err != nil {
			return err
		}
		request := operator.TimelineRequest{}
		request.Kind = authority.EventOrderIntended
		answer, err := r.operator(holder).Timeline(ctx, request)
		if err != nil {
			return errors.Wrap(err, "read timeline")
		}
		if len(answer.Events) > 0 {
			if err := r.processes[holder].signal(syscall.SIGKILL); err != nil {
				return err
			}
			if err := r.replace(ctx, holder); err != nil {
				return err
			}
			return r.awaitApplied(ctx)
		}
		if !pause.For(ctx, readyPoll) {
			return errors.New("no role change was ordered")
		}
	}
}

// awaitApplied waits until an instance reports that an order was applied.
func (r *run) awaitApplied(ctx context.Context) error {
	for len(r.events(ctx, authority.EventOrderApplied)) == 0 {
		if !pause.For(ctx, readyPoll) {
			return errors.New("no successor completed the order")
		}
	}
	return nil
}

// leaseHolder returns the index of the instance that holds the lease of the first engine's
// shard.
func (r *run) leaseHolder(ctx context.Context) (int, error) {
	var first core.Target
	for _, target := range r.deployment.Configuration.Targets {
		if target.IsEngine() {
			first = target
			break
		}
	}
	shard := authority.ShardOf(first, shardCount, 1)
	for {
		for i := range r.processes {
			status, err := r.operator(i).Status(ctx)
			if err != nil {
				continue // the instance is being replaced
			}
			for _, held := range status.Shards {
				if held == shard {
					return i, nil
				}
			}
		}
		if !pause.For(ctx, readyPoll) {
			return 0, errors.New("no instance holds the lease of the engines' shard")
		}
	}
}
