package check

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"gorseline/core"
	"gorseline/core/configuration"
)

// pull reads the head and applies all later revisions to an instance, as single updates or
// as the whole configuration.
func (wl *revisionWorkload) pull(i *instance) {
	w, ctx := wl.w, context.Background()
	head, err := wl.readHead(i)
	if err != nil || head.Revision <= i.applier.Revision() {
		return
	}
	store := wl.store(i, nil)
	if i.applier.Revision() == 0 || w.chance(0.2) {
		c, err := store.Load(ctx)
		if err == nil {
			wl.applyChecked(i, func() configuration.ApplyResult { return i.applier.ApplyConfiguration(c) })
		}
		return
	}
	updates, err := store.Updates(ctx, i.applier.Revision(), head.Revision)
	if err != nil {
		return
	}
	for _, u := range updates {
		wl.apply(i, u)
	}
}

// push sends the updates of an accepted revision from one instance to all. One in five
// messages holds the whole configuration of the sender instead.
func (wl *revisionWorkload) push(from *instance, seen, accepted core.Revision) {
	w := wl.w
	updates, err := wl.store(from, nil).Updates(context.Background(), seen, accepted)
	if err != nil {
		return
	}
	for _, u := range updates {
		for _, to := range w.instances {
			sent := u
			if w.chance(0.2) && from.applier.Revision() > 0 {
				full, err := configuration.FullUpdate(from.applier.Configuration())
				if err != nil {
					w.reportViolation(err.Error())
				}
				sent = full
			}
			wl.send(from, to, sent)
		}
	}
}

// send delivers an update after a random delay, so updates can be reordered. An update may
// also be lost, duplicated or late.
func (wl *revisionWorkload) send(from, to *instance, u configuration.Update) {
	w := wl.w
	copies := 1
	switch {
	case w.chance(0.1) || from.isPartitioned():
		return
	case w.chance(0.2):
		w.faults["UpdateDoubled"]++
		copies = 2
	}
	for range copies {
		latency := w.between(time.Millisecond, 500*time.Millisecond)
		if w.chance(0.1) {
			w.faults["UpdateLate"]++
			latency = w.between(time.Second, 30*time.Second)
		}
		w.after(latency, func() { wl.deliver(to, u) })
	}
}

// deliver applies an update to an instance, at the end of its pause if it is paused.
func (wl *revisionWorkload) deliver(to *instance, u configuration.Update) {
	if !to.alive || to.isPartitioned() {
		return
	}
	if wait := to.pausedUntil - wl.w.now; wait > 0 {
		wl.w.after(wait, func() { wl.deliver(to, u) })
		return
	}
	wl.apply(to, u)
}

func (wl *revisionWorkload) apply(i *instance, u configuration.Update) {
	wl.applyChecked(i, func() configuration.ApplyResult { return i.applier.Apply(u) })
}

var applyActivities = map[configuration.ApplyResult]string{
	configuration.ApplyDone:      "UpdateApplied",
	configuration.ApplyStale:     "UpdateStale",
	configuration.ApplyGap:       "UpdateGap",
	configuration.ApplyMalformed: "UpdateBroken",
}

// applyChecked runs one step of an applier. It reports a violation if the revision in force
// decreases, an update can't be decoded, or one revision has two contents.
func (wl *revisionWorkload) applyChecked(i *instance, step func() configuration.ApplyResult) {
	w, before := wl.w, i.applier.Revision()
	result := step()
	after := i.applier.Revision()
	w.activity[applyActivities[result]]++
	switch {
	case after < before:
		w.reportViolation(fmt.Sprintf("instance %s: revision in force went from %d back to %d", i.id, before, after))
	case result == configuration.ApplyMalformed:
		w.reportViolation(fmt.Sprintf("instance %s: an update after revision %d can't be decoded", i.id, before))
	case result == configuration.ApplyDone:
		content, err := contentOf(i.applier.Configuration())
		if err != nil {
			w.reportViolation(err.Error())
		}
		if known, found := wl.contents[after]; found && known != content {
			w.reportViolation(fmt.Sprintf("instance %s: revision %d is %s, elsewhere %s", i.id, after, content, known))
		}
		wl.contents[after] = content
	}
}

// contentOf returns the documents of a configuration as comparable text.
func contentOf(c core.Configuration) (string, error) {
	full, err := configuration.FullUpdate(c)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(full)
	return string(text), err
}
