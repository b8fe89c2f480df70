package policy

import (
	"time"

	"gorseline/core"
	"gorseline/core/admission"
	"gorseline/core/routing"
)

// RoutingParameters are the routing parameters of the Full policy; see routing.FullOptions.
type RoutingParameters struct {
	Subset             int
	Probe              int
	LoadBound          float64
	MinimumPrefixShare float64
	NearBest           float64
	NearBestPerAge     float64
	Spread             int
	TransferRate       float64
	TransferLatency    Duration
}

// AdmissionParameters are the admission control parameters of the Full policy; see
// admission.Options.
type AdmissionParameters struct {
	MaxConcurrent   int
	MinConcurrent   int
	Adaptive        bool
	LateShare       float64
	UrgentLateShare float64
	UrgentShare     float64
	FairShares      bool
	Contention      float64
	EarlyRefusal    bool
	WeightMargin    float64
	Calibrate       bool
	SafetyMargin    float64
	KindLimits      map[core.KindName]int
	ModelLimits     map[core.Model]int
}

// FullParameters are the parameters of the Full policy.
type FullParameters struct {
	RoutingParameters
	AdmissionParameters
}

func (p FullParameters) validate(path string) error {
	latency := time.Duration(p.TransferLatency).Seconds()
	return firstError(
		validateRange(path, "Subset", p.Subset, 1, routing.MaxCandidates),
		validateRange(path, "Probe", p.Probe, 1, p.Subset),
		validateRange(path, "LoadBound", p.LoadBound, 1, 10),
		validateRange(path, "MinimumPrefixShare", p.MinimumPrefixShare, 0, 1),
		validateRange(path, "NearBest", p.NearBest, 0, 1),
		validateRange(path, "NearBestPerAge", p.NearBestPerAge, 0, 1),
		validateRange(path, "Spread", p.Spread, 1, routing.MaxCandidates),
		validateRange(path, "TransferRate", p.TransferRate, 0, 1e9),
		validateRange(path, "TransferLatency", latency, 0, 10),
		validateRange(path, "MaxConcurrent", p.MaxConcurrent, 1, maximumConcurrent),
		validateRange(path, "MinConcurrent", p.MinConcurrent, 1, p.MaxConcurrent),
		validateRange(path, "LateShare", p.LateShare, 0, 1),
		validateRange(path, "UrgentLateShare", p.UrgentLateShare, 0, 1),
		validateRange(path, "UrgentShare", p.UrgentShare, 0, 0.9),
		validateRange(path, "Contention", p.Contention, 0, 1),
		validateRange(path, "WeightMargin", p.WeightMargin, 0, 1),
		validateRange(path, "SafetyMargin", p.SafetyMargin, 0, 10),
		validateLimits(path, "KindLimits", p.KindLimits),
		validateLimits(path, "ModelLimits", p.ModelLimits),
	)
}

func init() {
	r, a := routing.DefaultFullOptions(), admission.DefaultOptions()
	register("Full", FullParameters{
		RoutingParameters: RoutingParameters{
			Subset: r.Subset, Probe: r.Probe, LoadBound: r.LoadBound, MinimumPrefixShare: r.MinimumPrefixShare,
			NearBest: r.NearBest, NearBestPerAge: r.NearBestPerAge, Spread: r.Spread,
			TransferRate: r.TransferRate, TransferLatency: Duration(r.TransferLatency),
		},
		AdmissionParameters: AdmissionParameters{
			MaxConcurrent: a.MaxConcurrent, MinConcurrent: a.MinConcurrent, Adaptive: a.Adaptive,
			LateShare: a.LateShare, UrgentLateShare: a.UrgentLateShare, UrgentShare: a.UrgentShare,
			FairShares: a.FairShares, Contention: a.Contention, EarlyRefusal: a.EarlyRefusal,
			WeightMargin: a.WeightMargin, Calibrate: a.Calibrate, SafetyMargin: a.SafetyMargin,
			KindLimits: map[core.KindName]int{}, ModelLimits: map[core.Model]int{},
		},
	}, newFull)
}

func newFull(p FullParameters, options Options) (core.Router, core.Admitter) {
	source := options.source()
	router := routing.NewFull(routing.FullOptions{
		Subset: p.Subset, Probe: p.Probe, LoadBound: p.LoadBound, MinimumPrefixShare: p.MinimumPrefixShare,
		NearBest: p.NearBest, NearBestPerAge: p.NearBestPerAge, Spread: p.Spread,
		TransferRate: p.TransferRate, TransferLatency: time.Duration(p.TransferLatency),
	}, source)
	urgentShare := p.UrgentShare
	if options.Preset.UrgentShare > 0 {
		urgentShare = options.Preset.UrgentShare
	}
	return router, admission.NewController(admission.Options{
		MaxConcurrent: p.MaxConcurrent, MinConcurrent: p.MinConcurrent, Adaptive: p.Adaptive,
		LateShare: p.LateShare, UrgentLateShare: p.UrgentLateShare, UrgentShare: urgentShare,
		FairShares: p.FairShares, Contention: p.Contention, EarlyRefusal: p.EarlyRefusal,
		WeightMargin: p.WeightMargin, Calibrate: p.Calibrate, SafetyMargin: p.SafetyMargin,
		KindLimits: p.KindLimits, ModelLimits: p.ModelLimits,
		OrganisationLimits: organisationLimits(options),
	}, source)
}
