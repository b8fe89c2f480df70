package propagation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/core/membership"
)

// Timing of the propagation.
const (
	// ReaderInterval is how often a reader polls the head.
	ReaderInterval = time.Second
	// FollowerInterval is how long followers wait for a confirmation of the head before
	// they poll it themselves.
	FollowerInterval = 5 * time.Second
	// pollJitter prevents followers from polling at the same time after an outage.
	pollJitter = 2 * time.Second
	// loadDelay and loadJitter prevent instances that start together from all loading the
	// whole configuration from the store: until the members have discovered each other,
	// many of them act as readers. Followers wait for loadJitter in addition, so that
	// readers load first.
	loadDelay  = 2 * time.Second
	loadJitter = 6 * time.Second
	// minReportInterval is the minimum time between two reports of an instance, and
	// maxReportInterval the time between reports of an unchanged revision. In large data
	// centres the minimum is longer, so that a reader receives at most three reports per
	// second.
	minReportInterval = 2 * time.Second
	maxReportInterval = 8 * time.Second
	reportsPerSecond  = 3 * membership.DelegateCount
	// pullGrace is how long a member waits for a push before it pulls. At the design
	// size a push passes five levels of the tree. Each dead member on its path adds 0.5 s.
	pullGrace = 700 * time.Millisecond

	headTimeout  = time.Second
	storeTimeout = 5 * time.Second
	pushTimeout  = 500 * time.Millisecond
	pullTimeout  = 3 * time.Second
	// fanOut is the number of children in the push tree. It bounds what an instance sends
	// per change to three copies of about 1 KB.
	fanOut = 3
	// maxPushTries is the maximum number of members tried per subtree.
	maxPushTries = 3
	// maxDelta is the number of missing revisions above which a whole configuration is
	// read instead of single updates.
	maxDelta = 64
	// maxRecentUpdates is the number of updates that are kept to answer pulls; updates
	// with more than maxRecentDocuments documents are not kept.
	maxRecentUpdates   = 64
	maxRecentDocuments = 256
)

// Options configures a Node.
type Options struct {
	Self      membership.Record
	Random    *rand.Rand
	Applier   *configuration.Applier
	Isolation *configuration.IsolationDetector
	// OnRecordChange is called for each member whose record changes; it may be nil.
	OnRecordChange func(membership.Record)
}

// Node combines the membership protocol of one instance with the propagation of revisions.
// It is not safe for concurrent use.
type Node struct {
	Options
	members *membership.Protocol
	// recentUpdates are the newest applied updates, in order, to answer pulls.
	recentUpdates []configuration.Update
	// head is the newest accepted revision known. headConfirmedAt is the latest known
	// time at which an instance polled the head; 0 means never.
	head            core.Revision
	headConfirmedAt core.Instant
	// appliedBy holds the revision in force that each member last reported.
	appliedBy map[core.InstanceID]core.Revision

	started  bool
	nextPoll core.Instant
	// loadAfter is the earliest time of a load of the whole configuration from the store.
	loadAfter core.Instant
	// polling is true during a poll of the head, and fetching during a pull, a read of
	// updates or a load.
	polling  bool
	fetching bool
	// pushAfterPoll is true after a change was accepted through this node until the node
	// has pushed it.
	pushAfterPoll    bool
	lastReport       core.Instant
	reportedRevision core.Revision
	newer            newerPeer
}

// newerPeer is a peer that has a newer revision in force, and the time to pull it.
type newerPeer struct {
	peer     membership.Record
	revision core.Revision
	pullAt   core.Instant
}

// NewNode returns a node that knows only itself.
func NewNode(o Options) *Node {
	n := &Node{Options: o, appliedBy: make(map[core.InstanceID]core.Revision)}
	n.members = membership.New(o.Self, o.Random, n.messageHeader, o.OnRecordChange)
	return n
}

// Members returns the node's view of the members.
func (n *Node) Members() *membership.Protocol { return n.members }

func (n *Node) messageHeader(now core.Instant) (applied, head core.Revision, ageMs uint32) {
	applied = n.Applier.Revision()
	if n.headConfirmedAt > 0 {
		head = n.head
		ageMs = uint32(now.Sub(n.headConfirmedAt).Milliseconds())
	}
	return applied, head, ageMs
}

// IsReader reports whether this node is a reader, which polls the head on behalf of its data
// centre.
func (n *Node) IsReader() bool { return n.members.IsDelegate() }

// Tick returns the calls that are due.
func (n *Node) Tick(now core.Instant) []Call {
	if !n.started {
		n.start(now)
	}
	calls := membershipCalls(now, n.members.Tick(now))
	if call, due := n.poll(now); due {
		calls = append(calls, call)
	}
	if newer := n.newer; newer.revision > n.Applier.Revision() && now >= newer.pullAt && !n.fetching {
		n.fetching = true
		calls = append(calls, n.pull(now, newer.peer))
	}
	if to, due := n.reportTo(now); due {
		n.lastReport, n.reportedRevision = now, n.Applier.Revision()
		calls = append(calls, membershipCalls(now, []membership.Call{n.members.Report(now, to)})...)
	}
	return calls
}

// start sets random times for the first poll, report and load. The load is delayed to learn
// from peers first.
func (n *Node) start(now core.Instant) {
	n.started = true
	n.nextPoll = now.Add(n.jitter(ReaderInterval))
	n.lastReport = now.Add(-n.jitter(maxReportInterval))
	n.loadAfter = now.Add(loadDelay + n.jitter(loadJitter))
}

func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.Random.Int64N(int64(limit)))
}

// poll returns the head poll that is due: one per ReaderInterval on readers and while an
// accepted change is not yet pushed, and otherwise only if the head was not confirmed for
// FollowerInterval.
func (n *Node) poll(now core.Instant) (Call, bool) {
	if now < n.nextPoll || n.polling {
		return Call{}, false
	}
	if n.IsReader() || n.pushAfterPoll {
		n.nextPoll = now.Add(ReaderInterval)
	} else {
		if n.headConfirmedAt > 0 && now.Sub(n.headConfirmedAt) < FollowerInterval {
			return Call{}, false
		}
		n.nextPoll = now.Add(FollowerInterval + n.jitter(pollJitter))
	}
	n.polling = true
	return Call{Kind: CallHead, Timeout: headTimeout, startedAt: now}, true
}

// HandleAcceptedChange returns the head poll that reads a change which was just accepted
// through this instance. The instance pushes the change after the poll.
func (n *Node) HandleAcceptedChange(now core.Instant) []Call {
	n.nextPoll = now
	n.pushAfterPoll = true
	if call, due := n.poll(now); due {
		return []Call{call}
	}
	return nil
}

// Leave announces that this instance is leaving.
func (n *Node) Leave(now core.Instant) []Call { return membershipCalls(now, n.members.Leave(now)) }

// Readers returns the readers of all data centres except this node.
func (n *Node) Readers() []membership.Record {
	var list []membership.Record
	for _, dc := range n.members.DataCentres() {
		for _, r := range n.members.DelegatesOf(dc) {
			if r.ID != n.Self.ID {
				list = append(list, r)
			}
		}
	}
	return list
}

// reportTo returns the reader to report the applied revision to, if a report is due.
// Members are assigned to readers by rendezvous hashing.
func (n *Node) reportTo(now core.Instant) (membership.Record, bool) {
	since := now.Sub(n.lastReport)
	spacing := max(minReportInterval, time.Duration(n.members.LocalCount())*time.Second/reportsPerSecond)
	if since < spacing || n.reportedRevision == n.Applier.Revision() && since < maxReportInterval || n.IsReader() {
		return membership.Record{}, false
	}
	var best membership.Record
	var bestHash uint64
	for _, r := range n.members.DelegatesOf(n.Self.DataCentre) {
		if h := xxhash.Sum64String(string(n.Self.ID) + "\x00" + string(r.ID)); best.ID == "" || h > bestHash {
			best, bestHash = r, h
		}
	}
	return best, best.ID != ""
}

// receive processes the configuration fields of a message.
func (n *Node) receive(now core.Instant, m membership.Message) {
	n.appliedBy[m.From.ID] = max(n.appliedBy[m.From.ID], m.Applied)
	if m.From.Status == membership.StatusDead {
		return
	}
	if confirmed := now.Add(-time.Duration(m.HeadAgeMs) * time.Millisecond); m.Head > 0 && confirmed > n.headConfirmedAt {
		n.headConfirmedAt = confirmed
	}
	n.observePeer(now, m.From, m.Applied, max(m.Head, m.Applied), pullGrace)
}

// observePeer records the revision in force on a peer and the head that it knows. If the
// peer's revision in force is newer than that of this node, a pull is due after the grace period.
func (n *Node) observePeer(now core.Instant, peer membership.Record, applied, head core.Revision, grace time.Duration) {
	n.head = max(n.head, head)
	if applied <= n.Applier.Revision() {
		return
	}
	if n.newer.revision <= n.Applier.Revision() {
		n.newer = newerPeer{peer, applied, now.Add(grace)}
	} else if applied > n.newer.revision {
		n.newer.peer, n.newer.revision = peer, applied
	}
	n.newer.pullAt = min(n.newer.pullAt, now.Add(grace))
}

// RolloutStatus holds the number of members on which a revision is in force.
type RolloutStatus struct {
	Revision core.Revision
	Applied  int
	Total    int
	Missing  []core.InstanceID
}

// Unconfirmed returns the members that are not known to have applied the revision, neither
// from the replies nor to this node, and the total number of members. Leaving members are
// not counted.
func (n *Node) Unconfirmed(revision core.Revision, replies []StatusReply) ([]membership.Record, int) {
	replies = append(slices.Clip(replies), n.HandleStatus())
	var missing []membership.Record
	total := 0
	for _, r := range n.members.Members() {
		if r.Status == membership.StatusLeaving {
			continue
		}
		total++
		if !slices.ContainsFunc(replies, func(s StatusReply) bool { return s.Applied[r.ID] >= revision }) {
			missing = append(missing, r)
		}
	}
	return missing, total
}

// RolloutStatus combines the replies of members with the reports to this node.
func (n *Node) RolloutStatus(revision core.Revision, replies []StatusReply) RolloutStatus {
	missing, total := n.Unconfirmed(revision, replies)
	answer := RolloutStatus{Revision: revision, Applied: total - len(missing), Total: total}
	for _, r := range missing {
		answer.Missing = append(answer.Missing, r.ID)
	}
	return answer
}

// HandleStatus returns the revisions in force on members of the local data centre, and
// discards those of former members.
func (n *Node) HandleStatus() StatusReply {
	reply := StatusReply{Applied: map[core.InstanceID]core.Revision{n.Self.ID: n.Applier.Revision()}}
	known := make(map[core.InstanceID]core.Revision, len(n.appliedBy))
	for _, r := range n.members.Members() {
		revision, ok := n.appliedBy[r.ID]
		if !ok {
			continue
		}
		known[r.ID] = revision
		if r.DataCentre == n.Self.DataCentre && r.ID != n.Self.ID {
			reply.Applied[r.ID] = revision
		}
	}
	n.appliedBy = known
	return reply
}

func membershipCalls(now core.Instant, list []membership.Call) []Call {
	calls := make([]Call, len(list))
	for i, c := range list {
		calls[i] = Call{Kind: CallMember, To: c.To, Timeout: c.Timeout, Member: c, startedAt: now}
	}
	return calls
}
