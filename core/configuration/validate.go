package configuration

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"gorseline/core"
)

// PolicyValidator checks the type and the parameters of a policy. It returns a
// *core.InvalidValueError or Problems with paths below the policy document.
type PolicyValidator func(core.PolicyDocument) error

// maxMinimumStay bounds MinimumStay: more than a day would keep an engine in one role over
// a whole load cycle.
const maxMinimumStay = 24 * time.Hour

// Validate checks a whole configuration and returns all problems as Problems, or nil. A nil
// validatePolicy accepts every policy type.
func Validate(c core.Configuration, validatePolicy PolicyValidator) error {
	v := validator{configuration: c}
	v.policyNames = slices.Sorted(maps.Keys(c.Policies))
	presets := slices.Sorted(maps.Keys(c.Presets))
	if _, ok := c.Presets[c.PresetInForce]; !ok {
		v.add("PresetInForce", c.PresetInForce, presets...)
	}
	if _, ok := c.Kinds[c.DefaultKind]; !ok && c.DefaultKind != "" {
		v.add("DefaultKind", string(c.DefaultKind), kindNames(c)...)
	}
	for name, p := range c.Presets {
		v.checkPreset("Presets."+name, name, p)
	}
	for name, p := range c.Policies {
		v.checkPolicy("Policies."+name, name, p, validatePolicy)
	}
	for name, k := range c.Kinds {
		v.checkKind("Kinds."+string(name), name, k)
	}
	v.checkTargets()
	v.checkOrganisations()
	return v.err()
}

func kindNames(c core.Configuration) []string {
	var names []string
	for _, kind := range slices.Sorted(maps.Keys(c.Kinds)) {
		names = append(names, string(kind))
	}
	return names
}

// validator collects the problems of a configuration.
type validator struct {
	Problems
	configuration core.Configuration
	policyNames   []string
}

func (v *validator) checkPreset(path, name string, p core.Preset) {
	v.checkName(path, p.Name, name)
	v.checkPolicyName(path+".Policy", p.Policy)
	v.checkAtLeast(path+".RoleChangePrice", p.RoleChangePrice, 0)
	v.checkDuration(path+".MinimumStay", p.MinimumStay, 0, maxMinimumStay)
	v.checkShare(path+".UrgentShare", p.UrgentShare)
	v.checkShare(path+".RetryBudget", p.RetryBudget)
	total := 0.0
	for i, e := range p.Experiment {
		entry := fmt.Sprintf("%s.Experiment[%d]", path, i)
		v.checkPolicyName(entry+".Policy", e.Policy)
		v.checkShare(entry+".Share", e.Share)
		total += e.Share
	}
	// The tolerance covers shares such as 0.1 that have no exact binary form.
	if total > 1+1e-9 {
		v.add(path+".Experiment", formatFloat(total), "shares with a sum of at most 1")
	}
	v.checkShare(path+".HarmLimit", p.HarmLimit)
	if _, ok := v.configuration.Presets[p.ShadowPolicy]; !ok && p.ShadowPolicy != "" && p.ShadowPolicy != core.ShadowReactive {
		accepted := slices.Sorted(maps.Keys(v.configuration.Presets))
		v.add(path+".ShadowPolicy", p.ShadowPolicy, append(accepted, core.ShadowReactive, "empty")...)
	}
	hasBaseline := total < 1-1e-9 || slices.ContainsFunc(p.Experiment, func(e core.PolicyShare) bool {
		return e.Policy == p.Policy && e.Share > 0
	})
	if p.HarmLimit > 0 && len(p.Experiment) > 0 && !hasBaseline {
		v.add(path+".Experiment", formatFloat(total), "with a HarmLimit, shares that leave callers to "+p.Policy)
	}
}

func (v *validator) checkPolicyName(path, name string) {
	if _, ok := v.configuration.Policies[name]; !ok {
		v.add(path, name, v.policyNames...)
	}
}

func (v *validator) checkPolicy(path, name string, p core.PolicyDocument, validate PolicyValidator) {
	v.checkName(path, p.Name, name)
	if p.Type == "" {
		v.add(path+".Type", "", "a policy type")
		return
	}
	if validate == nil {
		return
	}
	if err := validate(p); err != nil {
		addError(&v.Problems, path, p.Type, err)
	}
}

func (v *validator) checkKind(path string, name core.KindName, k core.Kind) {
	v.checkName(path, string(k.Name), string(name))
	if !(k.Weight > 0) {
		v.add(path+".Weight", formatFloat(k.Weight), "a number above 0")
	}
	if k.Deadline <= 0 {
		v.add(path+".Deadline", k.Deadline.String(), "a duration above 0")
	}
	v.checkDuration(path+".FirstToken", k.FirstToken, 0, k.Deadline)
	v.checkDuration(path+".BetweenTokens", k.BetweenTokens, 0, k.Deadline)
	v.checkAtLeast(path+".OutputTokens", float64(k.OutputTokens), 0)
}

func (v *validator) checkTargets() {
	known := make(map[core.TargetID]bool, len(v.configuration.Targets))
	for i, t := range v.configuration.Targets {
		path := fmt.Sprintf("Targets[%d]", i)
		if t.ID == "" || known[t.ID] {
			v.add(path+".ID", string(t.ID), "an identifier that no other target has")
		}
		known[t.ID] = true
		if t.Service == "" {
			v.add(path+".Service", "", "a service name")
		}
		if _, port, err := net.SplitHostPort(t.Address); err != nil || port == "" {
			v.add(path+".Address", t.Address, "host:port")
		}
		if !t.IsEngine() && t.Role != core.RoleNone {
			v.add(path+".Role", t.Role.String(), core.RoleNone.String())
		}
	}
	for id := range v.configuration.Drained {
		if !known[id] {
			v.add("Drained."+string(id), string(id), "an existing target")
		}
	}
}

func (v *validator) checkOrganisations() {
	ownersByDigest := make(map[string]core.Organisation)
	for _, name := range slices.Sorted(maps.Keys(v.configuration.Organisations)) {
		o := v.configuration.Organisations[name]
		path := "Organisations." + string(name)
		v.checkAtLeast(path+".MaxConcurrent", float64(o.MaxConcurrent), 0)
		if o.KeyDigest == "" {
			continue
		}
		digest, err := hex.DecodeString(o.KeyDigest)
		// A SHA-256 digest has 32 bytes.
		if err != nil || len(digest) != 32 {
			v.add(path+".KeyDigest", o.KeyDigest, "64 hexadecimal digits", "empty")
		}
		if owner, exists := ownersByDigest[string(digest)]; exists {
			v.add(path+".KeyDigest", o.KeyDigest, "a key other than that of "+string(owner))
		}
		ownersByDigest[string(digest)] = name
	}
}

func (v *validator) checkName(path, got, key string) {
	if got != key || key == "" {
		v.add(path+".Name", got, key)
	}
}

func (v *validator) checkShare(path string, x float64) {
	if !(x >= 0 && x <= 1) {
		v.add(path, formatFloat(x), "0 to 1")
	}
}

func (v *validator) checkAtLeast(path string, x, low float64) {
	if !(x >= low) {
		v.add(path, formatFloat(x), "at least "+formatFloat(low))
	}
}

func (v *validator) checkDuration(path string, d, low, high time.Duration) {
	if d < low || d > high {
		v.add(path, d.String(), low.String()+" to "+high.String())
	}
}

func formatFloat(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

// addError adds err with its path, if it has one, appended to path.
func addError(p *Problems, path, value string, err error) {
	var list Problems
	var single *core.InvalidValueError
	switch {
	case errors.As(err, &list):
	case errors.As(err, &single):
		list = Problems{single}
	default:
		p.add(path, value, strings.TrimSpace(err.Error()))
		return
	}
	for _, e := range list {
		p.add(strings.TrimSuffix(joinPath(path, e.Path), "."), e.Value, e.Accepted...)
	}
}
