package bench

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/strictini"
)

// Policy is a variant of the operators' configuration.
type Policy struct {
	Name string
	Keys map[string]string // values by KIND.KEY; KIND is service or pipeline
}

// baselineKeys disable the scheduling features that go beyond plain routing.
var baselineKeys = map[string]string{"service.hedge_percent": "0", "service.queue": "fifo", "service.shed": "false", "pipeline.refuse_late": "false"}

const pipelineKeys = "refuse_late class deadline"

// ParsePolicies parses a comma-separated list of variants. "text" and "predicted" are the unmodified
// configuration; "round-robin", "random" and "least-in-flight" are baselines; NAME[KEY=VALUE;...] sets keys
// of every service or, for pipeline keys, of every pipeline.
func ParsePolicies(list string) ([]Policy, error) {
	var out []Policy
	for _, item := range strictini.SplitList(list) {
		name, spec, custom := strings.Cut(item, "[")
		p := Policy{Name: name, Keys: map[string]string{}}
		switch {
		case custom:
			if err := p.setKeys(strings.TrimSuffix(spec, "]")); err != nil {
				return nil, err
			}
		case name == "text" || name == optext.RoutingPolicies[0]:
		case slices.Contains(optext.RoutingPolicies, name):
			for k, v := range baselineKeys {
				p.Keys[k] = v
			}
			p.Keys["service.routing"] = name
		default:
			return nil, fmt.Errorf("policy %q is not known: use text, %s or NAME[KEY=VALUE;...]", name, strings.Join(optext.RoutingPolicies, ", "))
		}
		out = append(out, p)
	}
	return out, nil
}

func (p *Policy) setKeys(spec string) error {
	for _, pair := range strings.Split(spec, ";") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("policy %s: %q is not KEY=VALUE", p.Name, pair)
		}
		kind := "service."
		if slices.Contains(strings.Fields(pipelineKeys), key) {
			kind = "pipeline."
		}
		p.Keys[kind+key] = value
	}
	return nil
}

// Apply returns the configuration with the keys of the policy set.
func (p Policy) Apply(text string) (string, error) {
	return editSections(text, func(s *ini.Section, kind string) {
		for key, value := range p.Keys {
			k, name, _ := strings.Cut(key, ".")
			if k == kind {
				s.Key(name).SetValue(value)
			}
		}
	})
}

// editSections applies f to every section of a configuration and validates the result. kind is the part of
// the section name before the colon.
func editSections(text string, f func(s *ini.Section, kind string)) (string, error) {
	file, err := ini.Load([]byte(text))
	if err != nil {
		return "", err
	}
	for _, s := range file.Sections() {
		kind, _, _ := strings.Cut(s.Name(), ":")
		f(s, kind)
	}
	var out bytes.Buffer
	if _, err := file.WriteTo(&out); err != nil {
		return "", err
	}
	_, err = optext.Parse("policy variant", out.Bytes())
	return out.String(), err
}
