package check

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
)

// pull brings an instance up to the head that it reads.
func (p *revisions) pull(i *instance) {
	w, ctx := p.w, context.Background()
	head, err := p.readHead(i)
	if err != nil || head.Revision <= i.applier.Revision() {
		return
	}
	store := p.store(i, nil)
	if i.applier.Revision() == 0 || w.chance(0.2) {
		c, err := store.Load(ctx)
		if err == nil {
			p.putInForce(i, func() configuration.ApplyResult { return i.applier.ApplyConfiguration(c) })
		}
		return
	}
	updates, err := store.Updates(ctx, i.applier.Revision(), head.Revision)
	if err != nil {
		return
	}
	for _, u := range updates {
		p.apply(i, u)
	}
}

// push sends an accepted revision from one instance to all. One in five messages holds
// the whole configuration of the sender instead.
func (p *revisions) push(from *instance, seen, accepted core.Revision) {
	w := p.w
	updates, err := p.store(from, nil).Updates(context.Background(), seen, accepted)
	if err != nil {
		return
	}
	for _, u := range updates {
		for _, to := range w.instances {
			sent := u
			if w.chance(0.2) && from.applier.Revision() > 0 {
				full, err := configuration.FullUpdate(from.applier.Configuration())
				if err != nil {
					w.violate(err.Error())
				}
				sent = full
			}
			p.send(from, to, sent)
		}
	}
}

// send delivers an update after a random time, so that updates overtake each other. It
// may be lost, doubled or late.
func (p *revisions) send(from, to *instance, u configuration.Update) {
	w := p.w
	copies := 1
	switch {
	case w.chance(0.1) || from.isCut():
		return
	case w.chance(0.2):
		w.faults["UpdateDoubled"]++
		copies = 2
	}
	for range copies {
		travel := w.between(time.Millisecond, 500*time.Millisecond)
		if w.chance(0.1) {
			w.faults["UpdateLate"]++
			travel = w.between(time.Second, 30*time.Second)
		}
		w.after(travel, func() { p.arrive(to, u) })
	}
}

// arrive applies an update at an instance, after its pause if it is paused.
func (p *revisions) arrive(to *instance, u configuration.Update) {
	if !to.alive || to.isCut() {
		return
	}
	if wait := to.pausedUntil - p.w.now; wait > 0 {
		p.w.after(wait, func() { p.arrive(to, u) })
		return
	}
	p.apply(to, u)
}

func (p *revisions) apply(i *instance, u configuration.Update) {
	p.putInForce(i, func() configuration.ApplyResult { return i.applier.Apply(u) })
}

var applyActivities = map[configuration.ApplyResult]string{
	configuration.ApplyDone:      "UpdateApplied",
	configuration.ApplyStale:     "UpdateStale",
	configuration.ApplyGap:       "UpdateGap",
	configuration.ApplyMalformed: "UpdateBroken",
}

// putInForce runs one step of an applier. It reports a revision that goes back, and one
// revision with two contents.
func (p *revisions) putInForce(i *instance, step func() configuration.ApplyResult) {
	w, before := p.w, i.applier.Revision()
	result := step()
	after := i.applier.Revision()
	w.activity[applyActivities[result]]++
	switch {
	case after < before:
		w.violate(fmt.Sprintf("instance %s: revision in force went from %d back to %d", i.id, before, after))
	case result == configuration.ApplyMalformed:
		w.violate(fmt.Sprintf("instance %s: an update after revision %d can't be decoded", i.id, before))
	case result == configuration.ApplyDone:
		content, err := contentOf(i.applier.Configuration())
		if err != nil {
			w.violate(err.Error())
		}
		if known, found := p.contents[after]; found && known != content {
			w.violate(fmt.Sprintf("instance %s: revision %d is %s, elsewhere %s", i.id, after, content, known))
		}
		p.contents[after] = content
	}
}

// contentOf returns the documents of a configuration in a form that can be compared.
func contentOf(c core.Configuration) (string, error) {
	full, err := configuration.FullUpdate(c)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(full)
	return string(text), err
}
