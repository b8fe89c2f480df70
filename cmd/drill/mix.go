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

// Sizes of the requests of a mix that shifts. The engines compute 2,500 prompt tokens a
// second each: the second part needs nine of the fourteen engines for prompts, of which
// seven begin in that role.
const (
	mixRequests     = 420
	mixPromptTokens = 4000
	mixOutputTokens = 200
	mixPrefillRate  = 2500
)

// shiftMix replaces the model requests by long answers to short prompts, followed by
// short answers to long prompts, and makes a role change cheap.
func shiftMix(sample *workload.Sample, engines *engine.Options) {
	engines.PrefillRate = mixPrefillRate
	preset := sample.Configuration.Preset()
	preset.RoleChangePrice, preset.MinimumStay = 0.1, 5*time.Second
	sample.Configuration.Presets[preset.Name] = preset
	var review workload.Request
	for _, r := range sample.Requests {
		if r.Model != "" && r.MaxTokens >= mixOutputTokens {
			review = r
		}
	}
	sample.Requests = nil
	for i := range mixRequests {
		r := review
		r.Name = fmt.Sprintf("%s-%d", review.Name, i)
		if i < mixRequests/3 {
			r.Prompt, r.MaxTokens = fmt.Sprintf("short file %d", i), mixOutputTokens
		} else {
			r.Prompt, r.MaxTokens = fmt.Sprintf("file %d ", i)+strings.Repeat("invoice ", mixPromptTokens), 8
		}
		sample.Requests = append(sample.Requests, r)
	}
}

func noFailure(context.Context, *run) error { return nil }

// killInRoleChange kills the instance that holds the lease over the engines as soon as
// it has recorded an order. A successor must finish the order.
func killInRoleChange(ctx context.Context, r *run) error {
	for {
		holder, err := r.holder(ctx)
		if err != nil {
			return err
		}
		request := operator.TimelineRequest{}
		request.Kind = authority.EventOrderIntended
		answer, err := r.operator(holder).Timeline(ctx, request)
		if err != nil {
			return errors.Wrap(err, "read time line")
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

// awaitApplied waits until a successor has seen an order carried out.
func (r *run) awaitApplied(ctx context.Context) error {
	for len(r.events(ctx, authority.EventOrderApplied)) == 0 {
		if !pause.For(ctx, readyPoll) {
			return errors.New("no successor finished the order")
		}
	}
	return nil
}

// holder returns the instance that gives orders to the engines.
func (r *run) holder(ctx context.Context) (int, error) {
	var first core.Target
	for _, target := range r.site.Configuration.Targets {
		if target.IsEngine() {
			first = target
			break
		}
	}
	shard := authority.ShardOf(first, shards, 1)
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
			return 0, errors.New("no instance holds the engines' shard")
		}
	}
}
