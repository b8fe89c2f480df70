package engine

import (
	"context"
	"net"
	"time"

	"gorseline/core"
	"gorseline/standin/weights"
)

// Options configures a stand-in engine. Zero fields get the defaults of
// DefaultOptions.
type Options struct {
	ID   core.TargetID
	Role core.Role
	// Model is loaded at the start; Models lists what an order may load. An empty
	// Models allows every model.
	Model          core.Model
	Models         []core.Model
	WeightsVersion string
	// ChecksFence makes the engine refuse orders with an old fence or sequence.
	ChecksFence bool

	// PrefillRate is in prompt tokens per second, PrefillChunk the most prompt
	// tokens computed in one step.
	PrefillRate  float64
	PrefillChunk int
	// A step takes StepBase + StepPerSequence × sequences in decode, plus the time
	// for its prompt tokens. Each sequence in decode gains TokensPerStep tokens.
	StepBase        time.Duration
	StepPerSequence time.Duration
	TokensPerStep   int
	// TokensPerPiece bounds the tokens of one event.
	TokensPerPiece int
	// BatchSize bounds the running sequences, QueueSize the waiting ones.
	BatchSize int
	QueueSize int
	// KVCapacity is in tokens.
	KVCapacity int
	// TransferRate is the rate of KV export in tokens per second.
	TransferRate float64

	// PrefixPrefixCacheBlocks bounds the prefix cache, in blocks of core.PrefixBlockTokens.
	PrefixCacheBlocks int
	// CacheEventDelay is the delay of cache events. With DropEveryNthCacheEvent n > 0
	// every n-th event is never shown.
	CacheEventDelay        time.Duration
	DropEveryNthCacheEvent uint64

	// LoadReportInterval is the time between two snapshots for load reports.
	LoadReportInterval time.Duration
	// RoleChangeTime and ModelLoad are the times that orders take after running work
	// has finished.
	RoleChangeTime time.Duration
	ModelLoadTime  time.Duration

	// Weights is the weight store that model loads fetch from; nil has no limit.
	Weights *weights.Store

	// HeartbeatInterval is the time between heartbeat comments on an idle stream.
	HeartbeatInterval time.Duration
	// OrphanTimeout is how long a stream runs on without a reader, and how long its
	// text is kept.
	OrphanTimeout time.Duration

	// Dial reaches other engines for KV import; nil uses TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultOptions returns the settings of an engine of ordinary speed.
func DefaultOptions() Options {
	return Options{
		ID:                 "engine",
		Role:               core.RoleMixed,
		Model:              "ledger-7b",
		WeightsVersion:     "v1",
		PrefillRate:        8000,
		PrefillChunk:       512,
		StepBase:           12 * time.Millisecond,
		StepPerSequence:    300 * time.Microsecond,
		TokensPerStep:      1,
		TokensPerPiece:     1,
		BatchSize:          32,
		QueueSize:          4096,
		KVCapacity:         200_000,
		TransferRate:       100_000,
		PrefixCacheBlocks:  512,
		CacheEventDelay:    500 * time.Millisecond,
		LoadReportInterval: time.Second,
		RoleChangeTime:     4 * time.Second,
		ModelLoadTime:      20 * time.Second,
		HeartbeatInterval:  time.Second,
		OrphanTimeout:      30 * time.Second,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.ID, d.ID)
	setDefault(&o.Role, d.Role)
	setDefault(&o.Model, d.Model)
	setDefault(&o.WeightsVersion, d.WeightsVersion)
	setDefault(&o.PrefillRate, d.PrefillRate)
	setDefault(&o.PrefillChunk, d.PrefillChunk)
	setDefault(&o.StepBase, d.StepBase)
	setDefault(&o.StepPerSequence, d.StepPerSequence)
	setDefault(&o.TokensPerStep, d.TokensPerStep)
	setDefault(&o.TokensPerPiece, d.TokensPerPiece)
	setDefault(&o.BatchSize, d.BatchSize)
	setDefault(&o.QueueSize, d.QueueSize)
	setDefault(&o.KVCapacity, d.KVCapacity)
	setDefault(&o.TransferRate, d.TransferRate)
	setDefault(&o.PrefixCacheBlocks, d.PrefixCacheBlocks)
	setDefault(&o.CacheEventDelay, d.CacheEventDelay)
	setDefault(&o.LoadReportInterval, d.LoadReportInterval)
	setDefault(&o.RoleChangeTime, d.RoleChangeTime)
	setDefault(&o.ModelLoadTime, d.ModelLoadTime)
	setDefault(&o.HeartbeatInterval, d.HeartbeatInterval)
	setDefault(&o.OrphanTimeout, d.OrphanTimeout)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
