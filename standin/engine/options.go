package engine

import (
	"context"
	"net"
	"time"

	"gorseline/core"
	"gorseline/standin/weights"
)

// Options configures an Engine. Zero fields get the values of DefaultOptions.
type Options struct {
	// ID identifies the engine and is the prefix of its stream IDs.
	ID core.TargetID
	// Role is the initial role.
	Role core.Role
	// Model and WeightsVersion are loaded at the start. Models lists the models that an
	// order may load; if empty, all are allowed.
	Model          core.Model
	Models         []core.Model
	WeightsVersion string
	// ChecksFence makes the engine refuse orders with an outdated fencing token or
	// sequence number.
	ChecksFence bool

	// PrefillRate is in prompt tokens per second. PrefillChunk is the maximum number of
	// prompt tokens in a step of a mixed engine; prefill engines compute up to four times
	// as many, decode engines a quarter.
	PrefillRate  float64
	PrefillChunk int
	// A step takes StepBase + StepPerSequence × decoding sequences, plus the time for
	// its prompt tokens. Each decoding sequence gains TokensPerStep tokens.
	StepBase        time.Duration
	StepPerSequence time.Duration
	TokensPerStep   int
	// TokensPerPiece bounds the tokens of an SSE event.
	TokensPerPiece int
	// BatchSize bounds the running sequences and QueueSize the waiting ones.
	BatchSize int
	QueueSize int
	// KVCapacity is in tokens.
	KVCapacity int
	// TransferRate is the rate of KV export in tokens per second.
	TransferRate float64

	// PrefixCacheBlocks is the capacity of the prefix cache in blocks of
	// core.PrefixBlockTokens.
	PrefixCacheBlocks int
	// CacheEventDelay is the time after which readers see a cache event. If
	// DropEveryNthCacheEvent is n > 0, they never see every n-th event.
	CacheEventDelay        time.Duration
	DropEveryNthCacheEvent uint64

	// LoadReportInterval is the time between two snapshots of the load; reports show
	// the latest one.
	LoadReportInterval time.Duration
	// RoleChangeTime and ModelLoadTime are how long an order takes after running work
	// has finished.
	RoleChangeTime time.Duration
	ModelLoadTime  time.Duration

	// Weights is the store that model loads fetch from; nil doesn't limit them.
	Weights *weights.Store

	// HeartbeatInterval is the time between heartbeat comments on an open stream.
	HeartbeatInterval time.Duration
	// OrphanTimeout is the time after which a stream without readers is cancelled, and
	// the time for which an ended stream without readers is retained.
	OrphanTimeout time.Duration

	// Dial connects to other engines for KV imports; nil uses net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// DefaultOptions returns the options of an engine of typical speed.
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
