package forward

import (
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/retry"
	"gorseline/core/roster"
	"gorseline/io/target"
)

// Headers between two instances, in the canonical form of net/http. Callers' values are replaced, and
// targets get none of them.
const (
	// headerDetour marks a request that another instance sends, and the answer to it; its value is the
	// sender's name, in a request with an API key followed by the digest of the key.
	headerDetour = "Gorseline-Detour"
	// headerConfiguration is the version of the configuration that the request was accepted under, and
	// headerRuns the number of targets that may have run it.
	headerConfiguration = "Gorseline-Configuration"
	headerRuns          = "Gorseline-Runs"
	// headerNotRun marks a refusal of the other instance with its reason, and headerUnable one that says
	// only that the instance can't help.
	headerNotRun = "Gorseline-Not-Run"
	headerUnable = "Gorseline-Unable"
	// headerArrivals is the number of sends of the refused request that reached a target.
	headerArrivals = "Gorseline-Arrivals"
	// headerFailed marks a failure of the other instance with its reason. The request may have run.
	headerFailed = "Gorseline-Failed"
	// headerLeaving names a target that states in its answer that it leaves, after the start of its
	// process.
	headerLeaving = "Gorseline-Leaving"
)

var detourHeaders = [...]string{
	headerDetour, headerConfiguration, headerRuns, headerNotRun, headerUnable, headerArrivals, headerFailed, headerLeaving,
}

const (
	// maxDetours is the number of instances that are asked to serve one request.
	maxDetours = 3
	// maxDetourConnections bounds the idle connections to another instance.
	maxDetourConnections = 8
	// minSilence is how long another instance must have had a request without an answer before it counts
	// as hanging. Requests with less time left may run out of it at a target.
	minSilence = 250 * time.Millisecond
)

// Reasons of requests that take a detour.
const (
	ReasonTargetsUnreached   core.Reason = "TargetsUnreached"
	ReasonStaleConfiguration core.Reason = "StaleConfiguration"
)

// DetourResult is what became of a request that was sent through another instance.
type DetourResult string

// Results of detours.
const (
	// DetourServed means that the other instance relayed the answer of a target.
	DetourServed DetourResult = "Served"
	// DetourFailed means that it failed after a target may have run the request.
	DetourFailed DetourResult = "Failed"
	// DetourRefused means that it refused the request.
	DetourRefused DetourResult = "Refused"
	// DetourUnable means that it can't help either, or wasn't reached.
	DetourUnable DetourResult = "Unable"
	// DetourUnknown means that it didn't answer.
	DetourUnknown DetourResult = "Unknown"
)

// detourHeader is what another instance states about a request that it sends.
type detourHeader struct {
	from          string
	configuration core.Revision
	runs          int
	// key is the digest of the API key, or zero if the request has none or an earlier build sends it.
	key core.KeyDigest
}

// DetourHandler returns a handler for the requests that other instances send because they can't reach
// the targets. All other requests go to next.
func (f *Forwarder) DetourHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		value := in.Header.Get(headerDetour)
		if value == "" {
			next.ServeHTTP(w, in)
			return
		}
		host, _, _ := net.SplitHostPort(in.RemoteAddr) // an invalid one has no valid address
		if address, err := netip.ParseAddr(host); err != nil || !f.Peers.IsPeer(address) {
			f.Log.WithFields(log.Fields{"From": in.RemoteAddr}).Warn("DetourRejected")
			w.WriteHeader(http.StatusForbidden)
			return
		}
		configuration, errConfiguration := strconv.ParseUint(in.Header.Get(headerConfiguration), 10, 64)
		runs, errRuns := strconv.Atoi(in.Header.Get(headerRuns))
		from, key, errKey := parseDetourValue(value)
		if errConfiguration != nil || errRuns != nil || errKey != nil || runs < 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, name := range detourHeaders {
			in.Header.Del(name)
		}
		w.Header().Set(headerDetour, string(f.Instance))
		f.handle(w, in, &detourHeader{from: from, configuration: core.Revision(configuration), runs: runs, key: key})
	})
}

// hasStaleConfiguration reports whether the instance that sends the request has a newer configuration.
func (r *activeRequest) hasStaleConfiguration() bool {
	return r.detour != nil && r.table.Version() < r.detour.configuration
}

// acceptDetour takes over what the other instance has stated. It returns false if it has refused the
// request, because the targets can't be reached from here either.
func (r *activeRequest) acceptDetour() bool {
	if r.detour == nil {
		return true
	}
	r.possibleRuns = r.detour.runs
	if !r.Paths.IsCut(r.service) {
		return true
	}
	r.refuse(ReasonTargetsUnreached, r.remaining()/4)
	return false
}

// stateLeaving adds the name of a leaving target for the instance that sent the request.
func (r *activeRequest) stateLeaving() {
	if r.detour != nil && r.statedLeaving != "" {
		r.w.Header().Set(headerLeaving, r.statedLeaving)
	}
}

// stateFailed adds to a failure what the instance that sent the request needs.
func (r *activeRequest) stateFailed(reason core.Reason) {
	if r.detour != nil {
		r.w.Header().Set(headerFailed, string(reason))
		r.stateLeaving()
	}
}

// stateNotRun adds to a refusal what the instance that sent the request needs.
func (r *activeRequest) stateNotRun(reason core.Reason) {
	if r.detour == nil {
		return
	}
	r.stateLeaving()
	header := r.w.Header()
	header.Set(headerNotRun, string(reason))
	header.Set(headerArrivals, strconv.Itoa(r.ledger.Arrivals()))
	switch reason {
	case ReasonTargetsUnreached, ReasonStaleConfiguration, ReasonNoConfiguration, ReasonLeaving, ReasonStopped:
		header.Set(headerUnable, "1")
	default:
		if r.connectFailures > 0 {
			header.Set(headerUnable, "1")
		}
	}
}

// recordConnection records whether a connection to a target could be opened.
func (r *activeRequest) recordConnection(e *roster.Entry, err error) {
	if err != nil && r.isOutOfTime() {
		return // the time of the request was too short
	}
	now := r.Clock.Now()
	if err == nil {
		if lost, wasCut := r.Paths.RecordConnected(now, r.service, e.ID); wasCut {
			r.logPath("TargetsReached", lost)
		}
		return
	}
	r.connectFailures++
	if r.Paths.RecordFailed(now, r.service, e.ID, len(r.Roster.View().Ready(r.service))) {
		r.logPath("TargetsUnreached", 0)
	}
}

// logPath logs a change of the path to the service's targets and announces it.
func (r *activeRequest) logPath(event string, lost time.Duration) {
	r.Log.WithFields(log.Fields{
		"Service": r.service, "Ready": len(r.Roster.View().Ready(r.service)), "LostMs": lost.Milliseconds(),
	}).Warn(event)
	r.Peers.AnnouncePaths()
}

// noTargetReached reports whether no target is left to try because connections to some have failed.
func (r *activeRequest) noTargetReached() bool {
	if r.Paths.RecordNoTarget(r.Clock.Now(), r.service) {
		r.logPath("TargetsUnreached", 0)
	}
	return r.Paths.IsCut(r.service)
}

// isConnectFailure reports whether a send failed because no connection could be opened.
func isConnectFailure(err error) bool {
	var failure *target.Error
	return errors.As(err, &failure) && !failure.Sent
}

// mayDetour reports whether the request may be sent through another instance. A request takes one
// detour, and so there is no loop between instances that are both cut off.
func (r *activeRequest) mayDetour() bool {
	return r.detour == nil && !r.hasDetoured && !r.isOutOfTime() && r.mayRunAgain()
}

// takeDetour sends the request through another instance because no target can be reached. It returns
// true if the request has been answered. Otherwise no other instance could help.
func (r *activeRequest) takeDetour() bool {
	if !r.mayDetour() {
		return false
	}
	r.hasDetoured = true
	tried := map[string]bool{}
	for range maxDetours {
		address, ok := r.Detours.Choose(r.Clock.Now(), r.service, r.Peers.DetourPeers(r.service), tried)
		if !ok || r.isOutOfTime() || !r.takeRetries(RetryDetour, r.detourStage()) {
			return false
		}
		tried[address] = true
		if r.detourThrough(address) {
			return true
		}
		if !r.mayRunAgain() {
			r.fail(ReasonNoAnswer)
			return true
		}
	}
	return false
}

// detourStage returns the stage of the first send of another instance. It computes a prompt anew.
func (r *activeRequest) detourStage() retry.Stage {
	if r.req.Prompt != nil && r.engineLimits() != nil {
		return retry.StageCompute
	}
	return retry.StageRun
}

// detourThrough sends the request through one instance. It returns false if another may be tried.
func (r *activeRequest) detourThrough(address string) (done bool) {
	finish := r.Detours.Start(address)
	defer finish()
	r.Log.WithFields(log.Fields{
		"Request": r.req.ID, "Route": r.route.Name, "Service": r.service, "Peer": address, "Runs": r.possibleRuns,
		"Failures": r.connectFailures, "LeftMs": r.remaining().Milliseconds(),
	}).Warn("RequestDetoured")
	sentAt := r.Clock.Now()
	answer, err := r.Pool.Do(r.ctx, &target.Request{
		Address: address, Method: r.in.Method, URI: requestURI(r.in), Host: r.in.Host, Header: r.detourHeader(), Body: r.body,
		Deadline: time.Now().Add(r.remaining()), MaxIdle: maxDetourConnections,
		Name: string(r.req.ID), NameIn: func(h http.Header) string { return string(r.Dialect.AnsweredRequest(h)) },
	})
	if err == nil {
		if err = answer.SetReadDeadline(time.Now().Add(r.remaining())); err != nil {
			_ = answer.Close() // without a deadline reads could block
		}
	}
	if err != nil {
		r.detourFailed(address, sentAt, err)
		return false
	}
	if answer.Header.Get(headerDetour) == "" {
		// It runs a version that knows no detours, or doesn't know this instance.
		discardBody(answer)
		r.Detours.Avoid(r.Clock.Now(), address, r.service)
		r.endDetour(address, DetourUnable, "status "+strconv.Itoa(answer.Status))
		return false
	}
	r.learnLeaving(answer.Header.Get(headerLeaving))
	if reason := answer.Header.Get(headerNotRun); reason != "" {
		return r.relayRefusal(address, core.Reason(reason), answer)
	}
	r.ledger.Record(retry.StageRun, retry.SendAccepted)
	r.possibleRuns++
	r.detourPeer = address
	if reason := answer.Header.Get(headerFailed); reason != "" {
		discardBody(answer)
		r.endDetour(address, DetourFailed, reason)
		r.fail(core.Reason(reason))
		return true
	}
	r.endDetour(address, DetourServed, "")
	for _, name := range detourHeaders {
		answer.Header.Del(name)
	}
	return r.relayAnswer(nil, answer)
}

// learnLeaving records the leaving target that another instance names.
func (r *activeRequest) learnLeaving(value string) {
	startedText, id, ok := strings.Cut(value, " ")
	if started, err := strconv.ParseInt(startedText, 10, 64); ok && err == nil {
		r.Leavings.RecordLeaving(core.TargetID(id), started)
	}
}

// detourHeader returns the header of the request for another instance.
func (r *activeRequest) detourHeader() http.Header {
	header := r.Dialect.OutboundHeader(r.in.Header, &core.Attempt{Remaining: r.remaining(), Access: r.verdict.Access})
	for _, name := range detourHeaders {
		header.Del(name)
	}
	header.Set(headerDetour, detourValue(r.Instance, r.verdict.Access.Key))
	header.Set(headerConfiguration, strconv.FormatUint(uint64(r.table.Version()), 10))
	header.Set(headerRuns, strconv.Itoa(r.possibleRuns))
	return header
}

// detourFailed records a detour without an answer.
func (r *activeRequest) detourFailed(address string, sentAt core.Instant, err error) {
	if !r.isOutOfTime() || r.Clock.Now().Sub(sentAt) >= minSilence {
		r.Pool.DiscardIdle(address)
		r.Detours.Avoid(r.Clock.Now(), address, r.service)
	}
	if isConnectFailure(err) {
		r.endDetour(address, DetourUnable, err.Error())
		return
	}
	r.ledger.Record(retry.StageRun, retry.SendUnknown)
	r.possibleRuns++
	r.endDetour(address, DetourUnknown, err.Error())
}

// relayRefusal relays the refusal of another instance. It returns false if that one only can't help.
func (r *activeRequest) relayRefusal(address string, reason core.Reason, answer *target.Answer) (done bool) {
	discardBody(answer)
	// Without a valid number none reached a target.
	if arrivals, _ := strconv.Atoi(answer.Header.Get(headerArrivals)); arrivals > 0 {
		r.ledger.Record(retry.StageRun, retry.SendRefused)
	}
	if answer.Header.Get(headerUnable) != "" {
		r.Detours.Avoid(r.Clock.Now(), address, r.service)
		r.endDetour(address, DetourUnable, string(reason))
		return false
	}
	r.endDetour(address, DetourRefused, string(reason))
	after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if err != nil || after <= 0 {
		after = (r.remaining() / 4).Seconds()
	}
	r.failWithoutTarget(reason, time.Duration(after*float64(time.Second)))
	return true
}

func (r *activeRequest) endDetour(address string, result DetourResult, cause string) {
	r.Observer.ObserveDetour(r.service, result)
	if result == DetourServed {
		return // RequestEnded names the instance
	}
	r.Log.WithFields(log.Fields{
		"Request": r.req.ID, "Service": r.service, "Peer": address, "Result": string(result), "Cause": cause, "Runs": r.possibleRuns,
	}).Warn("DetourEnded")
}
