package bench

import (
	"fmt"
	"time"

	"gorseline/core"
)

// Workload is the kind, the arrival rate and the lengths of one group of requests.
type Workload struct {
	core.Kind
	// Rate is the number of arrivals per second. A scenario scales the rates of all
	// workloads by a common factor to reach its load; see Deployment.
	Rate float64
	// Service is set for calls of a plain service, whose mean duration is ServiceTime.
	Service     core.Service
	ServiceTime time.Duration
	// Prompt and Output are mean lengths in tokens; Prompt excludes the shared prefix.
	// Lengths are log-normal with the shape parameter LengthSigma, truncated at three
	// times the mean.
	Prompt, Output int
	LengthSigma    float64
	// Prefixes is the number of shared prefixes of PrefixTokens each.
	Prefixes, PrefixTokens int
	// ShiftsLengths reports whether a scenario's shifts apply to this kind.
	ShiftsLengths bool
}

// Deployment is one fleet with its workloads. A load of 1 is the arrival rate at which the
// model requests need exactly the time of all engines, with full batches and with shared
// prefixes in the cache.
type Deployment struct {
	Name        string
	Model       core.Model
	DataCentres []core.DataCentre
	Engines     []core.Target
	EngineModel EngineModel
	Servers     []core.Target
	// ServerSlots is the number of calls that a server of a plain service runs at once.
	ServerSlots int
	Workloads   []Workload
	// Latency is the one-way delay between the router and a target.
	Latency time.Duration
	Preset  core.Preset
}

// Deployments returns the deployments that can be compared.
func Deployments() []Deployment { return []Deployment{ledgerpeach(), kreditschutz()} }

// DeploymentByName looks up a deployment. It returns a core.InvalidValueError for an unknown
// name.
func DeploymentByName(name string) (Deployment, error) {
	var accepted []string
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
		accepted = append(accepted, d.Name)
	}
	return Deployment{}, &core.InvalidValueError{Path: "deployment", Value: name, Accepted: accepted}
}

// engineModel describes an accelerator server with a model of about 14 billion
// parameters. It computes 8,000 prompt tokens/s and takes 41 ms between tokens at a full
// batch, below the 60 ms that callers accept.
func engineModel() EngineModel {
	return EngineModel{
		PrefillRate: 8000, StepBase: 15 * time.Millisecond, StepPerSequence: 400 * time.Microsecond,
		ChunkTokens: 512, MixedOverhead: 1.1, Slots: 64, KVTokens: 600_000, CacheTokens: 64_000,
		TransferRate: 100_000, RoleChangeTime: 5 * time.Second, RestartTime: 30 * time.Second,
	}
}

func ledgerpeach() Deployment {
	const model, service = core.Model("ledger-14b"), core.Service("ledger-llm")
	dataCentres := []core.DataCentre{"athens-a", "athens-b", "gwinnett"}
	return Deployment{
		Name: "ledgerpeach", Model: model, DataCentres: dataCentres, EngineModel: engineModel(),
		Engines: engineTargets(service, model, dataCentres, 4, 5), Servers: serverTargets("books-app", dataCentres, 3),
		ServerSlots: 4, Latency: time.Millisecond,
		Preset: core.Preset{Name: "OrdinaryDay", RoleChangePrice: 120, MinimumStay: 2 * time.Minute, UrgentShare: 0.1},
		Workloads: []Workload{
			{
				Kind: core.Kind{
					Name: "Reconciliation", Weight: 5, Deadline: 90 * time.Second,
					Repeatable: true, OutputTokens: 700,
				},
				Rate: 8.4, Prompt: 3000, Output: 700, LengthSigma: 0.35, ShiftsLengths: true,
			},
			{
				Kind: core.Kind{
					Name: "CategoryLookup", Weight: 1, Deadline: 5 * time.Second, FirstToken: 1800 * time.Millisecond,
					BetweenTokens: 60 * time.Millisecond, Priority: 1, Urgent: true, Repeatable: true, OutputTokens: 20,
				},
				Rate: 38, Prompt: 200, Output: 20, LengthSigma: 0.3,
			},
			{
				Kind: core.Kind{
					Name: "DuesPosting", Weight: 3, Deadline: 5 * time.Second, Priority: 1,
				},
				Rate: 6, Service: "books-app", ServiceTime: 40 * time.Millisecond,
			},
			{
				Kind: core.Kind{
					Name: "LedgerExport", Weight: 2, Deadline: 30 * time.Second, Repeatable: true,
				},
				Rate: 1.5, Service: "books-app", ServiceTime: 400 * time.Millisecond,
			},
		},
	}
}

func kreditschutz() Deployment {
	const model, service = core.Model("underwriting-14b"), core.Service("underwriting-models")
	dataCentres := []core.DataCentre{"wien-a", "wien-b", "linz-a", "graz-a"}
	return Deployment{
		Name: "kreditschutz", Model: model, DataCentres: dataCentres, EngineModel: engineModel(),
		Engines: engineTargets(service, model, dataCentres, 7, 7), Servers: serverTargets("limit-ledger", dataCentres, 4),
		ServerSlots: 4, Latency: 500 * time.Microsecond,
		Preset: core.Preset{Name: "OrdinaryDay", RoleChangePrice: 10, MinimumStay: time.Minute, UrgentShare: 0.15},
		Workloads: []Workload{
			{
				Kind: core.Kind{
					Name: "DossierReview", Weight: 5, Deadline: 90 * time.Second,
					Repeatable: true, OutputTokens: 500,
				},
				Rate: 15.6, Prompt: 3000, Output: 500, LengthSigma: 0.35, Prefixes: 16, PrefixTokens: 2048, ShiftsLengths: true,
			},
			{
				Kind: core.Kind{
					Name: "ClerkQuery", Weight: 2, Deadline: 8 * time.Second, FirstToken: 1800 * time.Millisecond,
					BetweenTokens: 60 * time.Millisecond, Priority: 2, Urgent: true, Repeatable: true, OutputTokens: 80,
				},
				Rate: 38, Prompt: 250, Output: 80, LengthSigma: 0.3,
			},
			{
				Kind: core.Kind{Name: "Grant", Weight: 3, Deadline: 5 * time.Second, Priority: 2},
				Rate: 5, Service: "limit-ledger", ServiceTime: 50 * time.Millisecond,
			},
			{
				Kind: core.Kind{Name: "Cancellation", Weight: 3, Deadline: 5 * time.Second, Priority: 2},
				Rate: 3, Service: "limit-ledger", ServiceTime: 50 * time.Millisecond,
			},
			{
				Kind: core.Kind{
					Name: "StatusLookup", Weight: 0.2, Deadline: 2 * time.Second, Repeatable: true,
				},
				Rate: 30, Service: "limit-ledger", ServiceTime: 8 * time.Millisecond,
			},
		},
	}
}

// engineTargets returns the engines with their initial roles, distributed evenly over the
// data centres.
func engineTargets(service core.Service, model core.Model, dataCentres []core.DataCentre, prefill, decode int) []core.Target {
	var list []core.Target
	for i := range prefill + decode {
		role := core.RoleDecode
		// Prefill engines are interleaved, so that each data centre has some.
		if i*prefill/(prefill+decode) != (i+1)*prefill/(prefill+decode) {
			role = core.RolePrefill
		}
		list = append(list, core.Target{
			ID: core.TargetID(fmt.Sprintf("%s-%02d", service, i+1)), Service: service, Address: fmt.Sprintf("engine:%d", i+1),
			DataCentre: dataCentres[i%len(dataCentres)], Models: []core.Model{model}, Role: role, ChecksFence: true,
		})
	}
	return list
}

// serverTargets returns the servers of a plain service, distributed evenly over the data
// centres.
func serverTargets(service core.Service, dataCentres []core.DataCentre, n int) []core.Target {
	var list []core.Target
	for i := range n {
		list = append(list, core.Target{
			ID: core.TargetID(fmt.Sprintf("%s-%02d", service, i+1)), Service: service, Address: fmt.Sprintf("server:%d", i+1),
			DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	return list
}

// minEngineTime returns the minimum engine time, in seconds, of a request with the given
// numbers of prompt and output tokens. Calls of plain services need none.
func (d *Deployment) minEngineTime(w *Workload, prompt, output float64) float64 {
	if w.Service != "" {
		return 0
	}
	return prompt/d.EngineModel.PrefillRate + output*d.EngineModel.minTokenTime()
}

// configuredLoad returns the load, as a fraction of the engines' time, that the configured
// rates cause during a shift.
func (d *Deployment) configuredLoad(shift Shift) float64 {
	total := 0.0
	for i := range d.Workloads {
		w := &d.Workloads[i]
		prompt, output := float64(w.Prompt), float64(w.Output)
		if w.ShiftsLengths {
			prompt, output = prompt*shift.PromptFactor, output*shift.OutputFactor
		}
		total += w.Rate * d.minEngineTime(w, prompt, output)
	}
	return total / float64(len(d.Engines))
}
