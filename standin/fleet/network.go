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

// Traffic counts messages of the control plane and their encoded bodies. HTTP, TCP and
// IP headers are not included.
type Traffic struct {
	// Requests and Replies count the messages sent.
	Requests int
	Replies  int
	// Bytes is the size of the bodies sent. The traffic of an instance also includes
	// the bodies received.
	Bytes int
	// Pushes counts the requests that push a configuration.
	Pushes int
	// StoreCalls counts calls to the configuration store.
	StoreCalls int
}

// callPeer sends the request of a call and passes the first outcome, a reply or the
// timeout, to the node. Later replies are dropped.
func (i *Instance) callPeer(call propagation.Call) {
	f := i.fleet
	completed := false
	complete := func(result propagation.Result) {
		if !completed {
			completed = true
			i.handleResult(call, result)
		}
	}
	i.schedule(call.Timeout, func() { complete(propagation.Result{Err: core.ErrUnavailable}) })
	to := f.byAddress[call.To.Address]
	if to == nil {
		return
	}
	exchange(i, to, call, complete)
}

// exchange sends the request of a call and passes its reply to complete. It never calls
// complete if the request or the reply is lost, and may call it several times if one of
// them is duplicated.
func exchange(from, to *Instance, call propagation.Call, complete func(propagation.Result)) {
	switch call.Kind {
	case propagation.CallPush:
		from.traffic.Pushes++
		from.fleet.traffic.Pushes++
		sendRequest(from, to, call.Push, func(p propagation.Push) {
			reply, calls := to.Node.HandlePush(to.fleet.now, p)
			to.startCalls(calls)
			sendReply(to, from, reply, func(r propagation.PushReply) { complete(propagation.Result{Push: r}) })
		})
	case propagation.CallPull:
		sendRequest(from, to, call.Pull, func(p propagation.Pull) {
			sendReply(to, from, to.Node.HandlePull(p), func(r propagation.PullReply) { complete(propagation.Result{Pull: r}) })
		})
	default:
		reply := func(m membership.Message) {
			sendReply(to, from, m, func(m membership.Message) { complete(propagation.Result{Message: m}) })
		}
		sendRequest(from, to, call.Member.Message, func(m membership.Message) { to.serve(call.Member.Kind, m, reply) })
	}
}

// serve handles a message of the membership protocol. It replies to an indirect probe
// after the probed member answers or the probe times out.
func (i *Instance) serve(kind membership.CallKind, m membership.Message, reply func(membership.Message)) {
	now := i.fleet.now
	switch kind {
	case membership.CallDigest:
		reply(i.Node.HandleDigest(now, m))
	case membership.CallIndirectProbe:
		probe := i.Node.HandleIndirectProbe(now, m)
		completed := false
		complete := func(result propagation.Result) {
			if completed {
				return
			}
			completed = true
			i.handleResult(probe, result)
			reply(i.Node.AnswerIndirectProbe(i.fleet.now, m, result.Err == nil))
		}
		i.schedule(probe.Timeout, func() { complete(propagation.Result{Err: core.ErrUnavailable}) })
		if to := i.fleet.byAddress[probe.To.Address]; to != nil {
			exchange(i, to, probe, complete)
		}
	default:
		reply(i.Node.HandleProbe(now, m))
	}
}

func sendReply[T any](from, to *Instance, message T, receive func(T)) {
	from.traffic.Replies++
	from.fleet.traffic.Replies++
	deliver(from, to, message, receive)
}

func sendRequest[T any](from, to *Instance, message T, receive func(T)) {
	from.traffic.Requests++
	from.fleet.traffic.Requests++
	deliver(from, to, message, receive)
}

// deliver encodes a message and passes a decoded copy of it to receive after the network's
// delay. The faults may lose, delay or duplicate the message.
func deliver[T any](from, to *Instance, message T, receive func(T)) {
	f := from.fleet
	data, err := peer.Codec{}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", message, err))
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
		to.schedule(delay, func() {
			to.traffic.Bytes += len(data)
			var received T
			if err := (peer.Codec{}).Unmarshal(data, &received); err != nil {
				panic(fmt.Sprintf("decode %T: %v", message, err))
			}
			receive(received)
		})
	}
}

// callStore runs a store call at once and passes its result to the node after the store
// latency, or fails the call at its timeout if the store is unreachable.
func (i *Instance) callStore(call propagation.Call) {
	f := i.fleet
	i.traffic.StoreCalls++
	f.traffic.StoreCalls++
	if f.faults.StoreCut != nil && f.faults.StoreCut(i) {
		i.schedule(call.Timeout, func() { i.handleResult(call, propagation.Result{Err: core.ErrUnavailable}) })
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
	i.schedule(f.options.StoreLatency, func() { i.handleResult(call, result) })
}
