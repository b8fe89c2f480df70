package table

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/common/pause"
)

// Bounds of a group: rows in one transaction, and the time that the first of them
// waits for others.
const (
	MaxBatchRows = 64
	BatchDelay   = 5 * time.Millisecond
)

// ErrQueueFull reports a write that was not sent because too many wait.
var ErrQueueFull = errors.Wrap(core.ErrUnavailable, "table: too many writes wait")

// BatcherOptions configure a Group.
type BatcherOptions struct {
	Table core.Table
	// NewAttemptID returns a new ID that no process has used.
	NewAttemptID func() core.AttemptID
	// AwaitQuota is called before each transaction; more writes join a group meanwhile; nil sends at once. An error ends the group as not done.
	AwaitQuota func(context.Context) error
	// MaxInFlight bounds the transactions in flight; 0 takes 4.
	MaxInFlight int
	// QueueSize bounds the writes that wait; 0 takes 1024. Beyond it they are refused.
	QueueSize int
	// Timeout bounds one group; 0 takes 10 s.
	Timeout time.Duration
}

// Batcher commits independent transactions of many callers together. Rows that conflict
// are answered as conflicts and the rest of their group is sent again, so a caller
// never fails because of another.
//
// A member that repeats an attempt after an Unknown result may meet its own row as a
// conflict, because the group ran under another attempt ID. Callers recognise their
// rows by an ID in the value. Batcher is safe for concurrent use.
type Batcher struct {
	core.Reader
	core.Scanner
	opts  BatcherOptions
	queue chan *member
	slots chan struct{}
	done  chan struct{}
}

var _ core.Table = (*Batcher)(nil)

// member is one caller's transaction.
type member struct {
	attempt core.AttemptID
	writes  []core.Write
	result  chan core.TransactResult
	// taken is set once, by the group that sends the writes or by a caller that gives up
	// before.
	taken atomic.Bool
}

// NewBatcher returns a group. Writes wait until Run is called.
func NewBatcher(opts BatcherOptions) *Batcher {
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = 4
	}
	if opts.QueueSize == 0 {
		opts.QueueSize = 1024
	}
	if opts.Timeout == 0 {
		opts.Timeout = 10 * time.Second
	}
	return &Batcher{
		Reader: opts.Table, Scanner: opts.Table, opts: opts,
		queue: make(chan *member, opts.QueueSize), slots: make(chan struct{}, opts.MaxInFlight),
		done: make(chan struct{}),
	}
}

// Transact queues the writes and waits for their result. When ctx ends first, the
// result is Unavailable if the writes were still waiting, and Unknown if the group is on
// its way.
func (g *Batcher) Transact(ctx context.Context, attempt core.AttemptID, writes []core.Write) core.TransactResult {
	m := &member{attempt: attempt, writes: writes, result: make(chan core.TransactResult, 1)}
	select {
	case <-g.done:
		return core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
	default:
	}
	select {
	case g.queue <- m:
	default:
		return core.TransactResult{Kind: core.TransactUnavailable, Err: ErrQueueFull}
	}
	select {
	case result := <-m.result:
		return result
	case <-ctx.Done():
		if m.taken.CompareAndSwap(false, true) {
			return core.TransactResult{Kind: core.TransactUnavailable, Err: ctx.Err()}
		}
		return core.TransactResult{Kind: core.TransactUnknown, Err: ctx.Err()}
	case <-g.done:
		// Run has answered every member that it took.
		select {
		case result := <-m.result:
			return result
		default:
			return core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable}
		}
	}
}

// Run forms and sends groups until ctx ends, and then waits for those in flight.
func (g *Batcher) Run(ctx context.Context) {
	defer close(g.done)
	var flying sync.WaitGroup
	defer flying.Wait()
	var held *member
	for {
		first := held
		if first == nil {
			select {
			case <-ctx.Done():
				return
			case first = <-g.queue:
			}
		}
		var members []*member
		members, held = g.collect(ctx, first)
		select {
		case <-ctx.Done():
			answerAll(members, core.TransactResult{Kind: core.TransactUnavailable, Err: core.ErrUnavailable})
			return
		case g.slots <- struct{}{}:
		}
		flying.Go(func() {
			defer func() { <-g.slots }()
			g.commit(context.WithoutCancel(ctx), members)
		})
	}
}

// collect gathers a group. A member that doesn't fit, by its size or because a row is
// already in the group, is returned for the next one.
func (g *Batcher) collect(ctx context.Context, first *member) (members []*member, held *member) {
	forming := gathering{keys: map[string]bool{}}
	forming.add(first)
	closed := make(chan error, 1)
	go func() {
		pause.For(ctx, BatchDelay)
		closed <- g.await(ctx)
	}()
	for {
		queue := g.queue
		if held != nil {
			queue = nil
		}
		select {
		case err := <-closed:
			if err != nil {
				answerAll(forming.members, core.TransactResult{Kind: core.TransactUnavailable, Err: err})
				return nil, held
			}
			return forming.members, held
		case m := <-queue:
			if !forming.add(m) {
				held = m
			}
		}
	}
}

func (g *Batcher) await(ctx context.Context) error {
	if g.opts.AwaitQuota == nil {
		return nil
	}
	return g.opts.AwaitQuota(ctx)
}

// gathering is a group that is being formed.
type gathering struct {
	members []*member
	keys    map[string]bool
}

func (g *gathering) add(m *member) bool {
	if len(g.members) > 0 && len(g.keys)+len(m.writes) > MaxBatchRows {
		return false
	}
	for _, w := range m.writes {
		if g.keys[w.Key] {
			return false
		}
	}
	for _, w := range m.writes {
		g.keys[w.Key] = true
	}
	g.members = append(g.members, m)
	return true
}

// commit sends a group until every member has its answer. Each round without a clear
// end removes at least the members that conflict.
func (g *Batcher) commit(ctx context.Context, members []*member) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Timeout)
	defer cancel()
	members = take(members)
	for round := 0; len(members) > 0; round++ {
		if round > 0 {
			if err := g.await(ctx); err != nil {
				answerAll(members, core.TransactResult{Kind: core.TransactUnavailable, Err: err})
				return
			}
		}
		attempt := members[0].attempt
		if len(members) > 1 {
			attempt = g.opts.NewAttemptID()
		}
		var writes []core.Write
		for _, m := range members {
			writes = append(writes, m.writes...)
		}
		result := g.opts.Table.Transact(ctx, attempt, writes)
		switch result.Kind {
		case core.TransactCommitted:
			for _, m := range members {
				n := len(m.writes)
				m.result <- core.TransactResult{Kind: core.TransactCommitted, Versions: result.Versions[:n:n]}
				result.Versions = result.Versions[n:]
			}
			return
		case core.TransactConflict:
			members = answerConflicts(members, result.Conflicts)
		default:
			answerAll(members, result)
			return
		}
	}
}

// answerConflicts answers the members with a conflicting row and returns the others.
func answerConflicts(members []*member, conflicts []core.Row) []*member {
	rows := map[string]core.Row{}
	for _, row := range conflicts {
		rows[row.Key] = row
	}
	var rest []*member
	for _, m := range members {
		var own []core.Row
		for _, w := range m.writes {
			if row, found := rows[w.Key]; found {
				own = append(own, row)
			}
		}
		if len(own) == 0 {
			rest = append(rest, m)
			continue
		}
		m.result <- core.TransactResult{Kind: core.TransactConflict, Conflicts: own}
	}
	if len(rest) == len(members) {
		answerAll(members, core.TransactResult{
			Kind: core.TransactUnknown, Err: errors.New("table: conflict names no row of the group"),
		})
		return nil
	}
	return rest
}

// take returns the members whose caller still waits; they will be sent.
func take(members []*member) []*member {
	return slices.DeleteFunc(members, func(m *member) bool { return !m.taken.CompareAndSwap(false, true) })
}

func answerAll(members []*member, result core.TransactResult) {
	for _, m := range members {
		m.result <- result
	}
}
