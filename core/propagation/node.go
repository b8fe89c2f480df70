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
	// FollowerInterval is how long other instances go without a confirmation of
	// the head before they poll it themselves.
	FollowerInterval = 5 * time.Second
	// pollJitter keeps followers from polling at the same time after an outage.
	pollJitter = 2 * time.Second
	// loadDelay and loadJitter keep a fleet that starts together from loading the
	// whole configuration from the store on every instance: until the members know
	// each other, many take themselves for readers. Followers wait for all readers.
	loadDelay  = 2 * time.Second
	loadJitter = 6 * time.Second
	// reportSpacing is the least time between two reports of an instance, and
	// reportInterval their distance without changes. In large data centres the
	// spacing grows, so that a reader gets at most three reports per second.
	reportSpacing    = 2 * time.Second
	reportInterval   = 8 * time.Second
	reportsPerSecond = 3 * membership.DelegateCount
	// pullGrace is the time that a push gets to arrive before a pull. A push takes
	// five levels at the design size and 0.5 s per dead member on its path.
	pullGrace = 700 * time.Millisecond

	headTimeout  = time.Second
	storeTimeout = 5 * time.Second
	pushTimeout  = 500 * time.Millisecond
	pullTimeout  = 3 * time.Second
	// fanOut bounds what an instance sends per change: three copies of about 1 KB.
	fanOut = 3
	// pushTries is the number of members tried for one part of the tree.
	pushTries = 3
	// maxDelta is the number of revisions above which a whole configuration is
	// read instead of single updates.
	maxDelta = 64
	// keptUpdates and keptDocuments bound what is held for pulls.
	keptUpdates   = 64
	keptDocuments = 256
)

// Options are the parts of a Node.
type Options struct {
	Self      membership.Record
	Random    *rand.Rand
	Applier   *configuration.Applier
	Isolation *configuration.IsolationDetector
	// OnRecordChange is called for each member whose record changes; it may be nil.
	OnRecordChange func(membership.Record)
}

// Node is the control part of one instance: its view of the members and the
// propagation of revisions. It is not safe for concurrent use.
type Node struct {
	Options
	members *membership.Protocol
	kept    []configuration.Update
	// head is the newest accepted revision known; confirmed is when a reader last
	// read the head, at 0 for never.
	head      core.Revision
	confirmed core.Instant
	// applied holds what members said about their revision in force.
	applied map[core.InstanceID]core.Revision

	started    bool
	nextPoll   core.Instant
	loadAfter  core.Instant
	polling    bool
	fetching   bool
	pushNext   bool
	lastReport core.Instant
	reported   core.Revision
	ahead      ahead
}

// ahead is a peer that has a newer revision in force.
type ahead struct {
	peer     membership.Record
	revision core.Revision
	pullAt   core.Instant
}

// NewNode returns a node that knows only itself.
func NewNode(o Options) *Node {
	n := &Node{Options: o, applied: make(map[core.InstanceID]core.Revision)}
	n.members = membership.New(o.Self, o.Random, n.header, o.OnRecordChange)
	return n
}

// Members returns the node's view of the members.
func (n *Node) Members() *membership.Protocol { return n.members }

func (n *Node) header(now core.Instant) (applied, head core.Revision, ageMs uint32) {
	applied = n.Applier.Revision()
	if n.confirmed > 0 {
		head = n.head
		ageMs = uint32(now.Sub(n.confirmed).Milliseconds())
	}
	return applied, head, ageMs
}

// IsReader reports whether this node polls the head for its data centre.
func (n *Node) IsReader() bool { return n.members.IsDelegate() }

// Tick returns the calls that are due.
func (n *Node) Tick(now core.Instant) []Call {
	if !n.started {
		n.start(now)
	}
	calls := wrap(now, n.members.Tick(now))
	if call, due := n.poll(now); due {
		calls = append(calls, call)
	}
	if a := n.ahead; a.revision > n.Applier.Revision() && now >= a.pullAt && !n.fetching {
		n.fetching = true
		calls = append(calls, n.pull(now, a.peer))
	}
	if to, due := n.reportTo(now); due {
		n.lastReport, n.reported = now, n.Applier.Revision()
		calls = append(calls, wrap(now, []membership.Call{n.members.Report(now, to)})...)
	}
	return calls
}

// start spreads the first polls and leaves time to learn from peers.
func (n *Node) start(now core.Instant) {
	n.started = true
	n.nextPoll = now.Add(n.jitter(ReaderInterval))
	n.lastReport = now.Add(-n.jitter(reportInterval))
	n.loadAfter = now.Add(loadDelay + n.jitter(loadJitter))
}

func (n *Node) jitter(limit time.Duration) time.Duration {
	return time.Duration(n.Random.Int64N(int64(limit)))
}

// poll returns the head poll that is due: every second on readers, and on others
// only when the head was not confirmed.
func (n *Node) poll(now core.Instant) (Call, bool) {
	if now < n.nextPoll || n.polling {
		return Call{}, false
	}
	if n.IsReader() || n.pushNext {
		n.nextPoll = now.Add(ReaderInterval)
	} else {
		if n.confirmed > 0 && now.Sub(n.confirmed) < FollowerInterval {
			return Call{}, false
		}
		n.nextPoll = now.Add(FollowerInterval + n.jitter(pollJitter))
	}
	n.polling = true
	return Call{Kind: CallHead, Timeout: headTimeout, began: now}, true
}

// HandleAcceptedChange returns the poll that reads a change just accepted through this
// instance, which then starts to push it.
func (n *Node) HandleAcceptedChange(now core.Instant) []Call {
	n.nextPoll = now
	n.pushNext = true
	if call, due := n.poll(now); due {
		return []Call{call}
	}
	return nil
}

// Leave announces that this instance leaves.
func (n *Node) Leave(now core.Instant) []Call { return wrap(now, n.members.Leave(now)) }

// Readers returns the readers of all data centres without this node.
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

// reportTo returns the reader that this member tells its revision to. Members
// divide themselves among the readers by rendezvous hashing.
func (n *Node) reportTo(now core.Instant) (membership.Record, bool) {
	since := now.Sub(n.lastReport)
	spacing := max(reportSpacing, time.Duration(n.members.LocalCount())*time.Second/reportsPerSecond)
	if since < spacing || n.reported == n.Applier.Revision() && since < reportInterval || n.IsReader() {
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

// heard takes in the configuration part of a message.
func (n *Node) heard(now core.Instant, m membership.Message) {
	n.applied[m.From.ID] = max(n.applied[m.From.ID], m.Applied)
	if m.From.Status == membership.StatusDead {
		return
	}
	if confirmed := now.Add(-time.Duration(m.HeadAgeMs) * time.Millisecond); m.Head > 0 && confirmed > n.confirmed {
		n.confirmed = confirmed
	}
	n.knows(now, m.From, m.Applied, max(m.Head, m.Applied), pullGrace)
}

// knows notes that a peer has a revision in force and which head it knows.
func (n *Node) knows(now core.Instant, peer membership.Record, applied, head core.Revision, grace time.Duration) {
	n.head = max(n.head, head)
	if applied <= n.Applier.Revision() {
		return
	}
	if n.ahead.revision <= n.Applier.Revision() {
		n.ahead = ahead{peer, applied, now.Add(grace)}
	} else if applied > n.ahead.revision {
		n.ahead.peer, n.ahead.revision = peer, applied
	}
	n.ahead.pullAt = min(n.ahead.pullAt, now.Add(grace))
}

// RolloutStatus says on how many members a revision is in force.
type RolloutStatus struct {
	Revision core.Revision
	Applied  int
	Total    int
	Missing  []core.InstanceID
}

// Unconfirmed returns the members that nobody has heard about the revision from,
// and how many members there are. Leaving members do not count.
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

// RolloutStatus merges the replies of members with what this node knows itself.
func (n *Node) RolloutStatus(revision core.Revision, replies []StatusReply) RolloutStatus {
	missing, total := n.Unconfirmed(revision, replies)
	answer := RolloutStatus{Revision: revision, Applied: total - len(missing), Total: total}
	for _, r := range missing {
		answer.Missing = append(answer.Missing, r.ID)
	}
	return answer
}

// HandleStatus answers which revisions are in force on members of the own data
// centre, and forgets those of former members.
func (n *Node) HandleStatus() StatusReply {
	reply := StatusReply{Applied: map[core.InstanceID]core.Revision{n.Self.ID: n.Applier.Revision()}}
	known := make(map[core.InstanceID]core.Revision, len(n.applied))
	for _, r := range n.members.Members() {
		revision, ok := n.applied[r.ID]
		if !ok {
			continue
		}
		known[r.ID] = revision
		if r.DataCentre == n.Self.DataCentre && r.ID != n.Self.ID {
			reply.Applied[r.ID] = revision
		}
	}
	n.applied = known
	return reply
}

func wrap(now core.Instant, list []membership.Call) []Call {
	calls := make([]Call, len(list))
	for i, c := range list {
		calls[i] = Call{Kind: CallMember, To: c.To, Timeout: c.Timeout, Member: c, began: now}
	}
	return calls
}
