package platform

import (
	"fmt"
	"net"
	"slices"
	"time"
)

// Violations describes the violations of the rules by the calls so far. It is empty if there are none.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	calls, list := slices.Clone(c.calls), slices.Clone(c.conflicts)
	c.mu.Unlock()
	subjects := map[string]*subjectRules{}
	names := map[string]string{}
	for i := range calls {
		call := &calls[i]
		if call.Malformed != "" {
			list = append(list, fmt.Sprintf("%s: malformed call of %q: %s", call.Path, call.Holder, call.Malformed))
			continue
		}
		if name, ok := names[call.Machine]; !ok {
			names[call.Machine] = call.Holder
		} else if name != call.Holder {
			violation := fmt.Sprintf("machine %s: calls under two names, %q and %q", call.Machine, name, call.Holder)
			if !slices.Contains(list, violation) {
				list = append(list, violation)
			}
		}
		if call.IsExcused {
			continue
		}
		key := call.Path + " " + call.Subject
		if subjects[key] == nil {
			subjects[key] = &subjectRules{gap: c.options.HolderGap, holders: map[uint64]string{}, latest: map[string]time.Time{}}
		}
		for _, violation := range subjects[key].add(call) {
			list = append(list, key+": "+violation)
		}
	}
	return list
}

// subjectRules checks the order of the calls of one duty for one subject. Holders are machines, whatever
// names they state.
type subjectRules struct {
	gap     time.Duration
	highest uint64
	// holders maps tokens to the holder that sent them first.
	holders map[uint64]string
	// current is the holder that called last, and latest the time of each holder's last call.
	current string
	latest  map[string]time.Time
}

// add checks the next call.
func (s *subjectRules) add(call *CloudCall) (violations []string) {
	if call.Fence < s.highest {
		violations = append(violations, fmt.Sprintf("lower token %d of %q after %d", call.Fence, call.Holder, s.highest))
	}
	s.highest = max(s.highest, call.Fence)
	if holder, ok := s.holders[call.Fence]; !ok {
		s.holders[call.Fence] = call.Machine
	} else if holder != call.Machine {
		violations = append(violations, fmt.Sprintf("token %d from two holders, machines %s and %s", call.Fence, holder, call.Machine))
	}
	before, isKnown := s.latest[call.Machine]
	if isKnown && s.current != call.Machine && call.At.Sub(before) < s.gap {
		violations = append(violations, fmt.Sprintf(
			"turns of holders: machine %s calls %v after its last call, and %s called in between",
			call.Machine, call.At.Sub(before).Round(time.Millisecond), s.current,
		))
	}
	s.current, s.latest[call.Machine] = call.Machine, call.At
	return violations
}

// senderIP returns the IP address of a sender.
func senderIP(sender string) string {
	ip, _, err := net.SplitHostPort(sender)
	if err != nil {
		return sender
	}
	return ip
}
