package fleet

import (
	"context"
	"fmt"
	"time"

	"gorseline/core"
	"gorseline/core/membership"
	"gorseline/core/propagation"
	"gorseline/io/peer"
)

// Traffic counts what control sends and receives, as encoded message bodies.
// Headers are not included.
type Traffic struct {
	// Requests and Replies count messages that were sent; Bytes their bodies, at
	// the sender and, for an instance, also at the receiver.
	Requests int
	Replies  int
	Bytes    int
	// Pushes counts the requests that are pushes of the configuration.
	Pushes int
	// StoreCalls counts calls of the table service.
	StoreCalls int
}

// callPeer sends a call's request and runs its end: the reply or the timeout.
func (i *Instance) callPeer(call propagation.Call) {
	f := i.fleet
	ended := false
	end := func(result propagation.Result) {
		if !ended {
			ended = true
			i.done(call, result)
		}
	}
	i.later(call.Timeout, func() { end(propagation.Result{Err: core.ErrUnavailable}) })
	to := f.byAddress[call.To.Address]
	if to == nil {
		return
	}
	exchange(i, to, call, func(result propagation.Result) { end(result) })
}

// exchange sends the request of a call and its reply.
func exchange(from, to *Instance, call propagation.Call, end func(propagation.Result)) {
	switch call.Kind {
	case propagation.CallPush:
		from.traffic.Pushes++
		from.fleet.traffic.Pushes++
		transmit(from, to, call.Push, func(p propagation.Push) {
			reply, calls := to.Node.HandlePush(to.fleet.now, p)
			to.make(calls)
			answer(to, from, reply, func(r propagation.PushReply) { end(propagation.Result{Push: r}) })
		})
	case propagation.CallPull:
		transmit(from, to, call.Pull, func(p propagation.Pull) {
			answer(to, from, to.Node.HandlePull(p), func(r propagation.PullReply) { end(propagation.Result{Pull: r}) })
		})
	default:
		reply := func(m membership.Message) {
			answer(to, from, m, func(m membership.Message) { end(propagation.Result{Message: m}) })
		}
		transmit(from, to, call.Member.Message, func(m membership.Message) { to.serve(call.Member.Kind, m, reply) })
	}
}

// serve handles a message of the membership protocol.
func (i *Instance) serve(kind membership.CallKind, m membership.Message, reply func(membership.Message)) {
	now := i.fleet.now
	switch kind {
	case membership.CallDigest:
		reply(i.Node.HandleDigest(now, m))
	case membership.CallIndirectProbe:
		probe := i.Node.HandleIndirectProbe(now, m)
		answered := false
		finish := func(result propagation.Result) {
			if answered {
				return
			}
			answered = true
			i.done(probe, result)
			reply(i.Node.AnswerIndirectProbe(i.fleet.now, m, result.Err == nil))
		}
		i.later(probe.Timeout, func() { finish(propagation.Result{Err: core.ErrUnavailable}) })
		if to := i.fleet.byAddress[probe.To.Address]; to != nil {
			exchange(i, to, probe, finish)
		}
	default:
		reply(i.Node.HandleProbe(now, m))
	}
}

func answer[T any](from, to *Instance, message T, receive func(T)) {
	from.traffic.Replies++
	from.fleet.traffic.Replies++
	carry(from, to, message, receive)
}

func transmit[T any](from, to *Instance, message T, receive func(T)) {
	from.traffic.Requests++
	from.fleet.traffic.Requests++
	carry(from, to, message, receive)
}

// carry encodes a message, and delivers a decoded copy unless a fault prevents it.
func carry[T any](from, to *Instance, message T, receive func(T)) {
	f := from.fleet
	data, err := peer.Codec{}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("message %T: %v", message, err))
	}
	from.traffic.Bytes += len(data)
	f.traffic.Bytes += len(data)
	copies := 1
	if f.faults.Duplicate > 0 && f.rng.Float64() < f.faults.Duplicate {
		copies = 2
	}
	for range copies {
		if f.faults.Loss > 0 && f.rng.Float64() < f.faults.Loss || f.faults.Cut != nil && f.faults.Cut(from, to) {
			continue
		}
		delay := f.options.Latency
		if f.faults.Jitter > 0 {
			delay += time.Duration(f.rng.Int64N(int64(f.faults.Jitter)))
		}
		to.later(delay, func() {
			to.traffic.Bytes += len(data)
			var received T
			if err := (peer.Codec{}).Unmarshal(data, &received); err != nil {
				panic(fmt.Sprintf("message %T: %v", message, err))
			}
			receive(received)
		})
	}
}

// callStore runs a store call and delivers its result after the store's latency.
func (i *Instance) callStore(call propagation.Call) {
	f := i.fleet
	i.traffic.StoreCalls++
	f.traffic.StoreCalls++
	if f.faults.StoreCut != nil && f.faults.StoreCut(i) {
		i.later(call.Timeout, func() { i.done(call, propagation.Result{Err: core.ErrUnavailable}) })
		return
	}
	ctx := context.Background()
	var result propagation.Result
	switch call.Kind {
	case propagation.CallHead:
		head, err := f.store.Head(ctx)
		result.Head, result.Err = head.Revision, err
	case propagation.CallUpdates:
		result.Updates, result.Err = f.store.Updates(ctx, call.After, call.Until)
	default:
		result.Configuration, result.Err = f.store.Load(ctx)
	}
	i.later(f.options.StoreLatency, func() { i.done(call, result) })
}
