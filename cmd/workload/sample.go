// Package workload sends the sample requests of a deployment as callers do and counts
// their outcomes.
package workload

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/pkg/errors"

	"gorseline/core"
	"gorseline/core/configuration"
	"gorseline/examples"
)

// Request is one request of a sample.
type Request struct {
	Name         string
	Kind         core.KindName
	Organisation core.Organisation

	// Model, Prompt and MaxTokens are set for completions, and the fields below for calls
	// of plain services.
	Model     core.Model
	Prompt    string
	MaxTokens int

	Service core.Service
	Method  string
	Path    string
	Body    json.RawMessage
}

// Sample holds the configuration and the requests of a deployment.
type Sample struct {
	Configuration core.Configuration
	Requests      []Request
}

// LoadSample reads the sample of a deployment from the embedded folder examples.
func LoadSample(deployment string) (Sample, error) {
	var s Sample
	data, err := examples.Files.ReadFile(deployment + "/configuration.json")
	if err != nil {
		return s, errors.Wrap(err, "read sample")
	}
	if s.Configuration, err = configuration.Decode[core.Configuration](data, ""); err != nil {
		return s, err
	}
	if data, err = examples.Files.ReadFile(deployment + "/requests.json"); err != nil {
		return s, errors.Wrap(err, "read sample")
	}
	return s, errors.Wrap(json.Unmarshal(data, &s.Requests), "decode sample requests")
}

// Shuffled returns the requests, each repeated rounds times, in a random order.
func (s Sample) Shuffled(rounds int, seed uint64) []Request {
	var all []Request
	for range rounds {
		all = append(all, s.Requests...)
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}
