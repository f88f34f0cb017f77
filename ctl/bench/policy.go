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

// Policy is a variant of the operators' text.
type Policy struct {
	Name string
	Keys map[string]string // KIND.KEY to value, KIND being service or pipeline
}

// baseline switches off what sets the product's policies apart from the
// plainest way to route.
var baseline = map[string]string{"service.hedge_percent": "0", "service.queue": "fifo", "service.shed": "false", "pipeline.refuse_late": "false"}

const pipelineKeys = "refuse_late class deadline"

// ParsePolicies reads a comma-separated list of variants: "text" or
// "predicted" is the text as it is, "round-robin", "random" and
// "least-in-flight" are baselines, and NAME[KEY=VALUE;...] sets keys of every
// service or, for keys of pipelines, every pipeline.
func ParsePolicies(list string) ([]Policy, error) {
	var out []Policy
	for _, item := range strictini.SplitList(list) {
		name, spec, custom := strings.Cut(item, "[")
		p := Policy{Name: name, Keys: map[string]string{}}
		switch {
		case custom:
			if err := p.set(strings.TrimSuffix(spec, "]")); err != nil {
				return nil, err
			}
		case name == "text" || name == optext.RoutingPolicies[0]:
		case slices.Contains(optext.RoutingPolicies, name):
			for k, v := range baseline {
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

func (p *Policy) set(spec string) error {
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

// Apply returns the text with the policy's keys set.
func (p Policy) Apply(text string) (string, error) {
	return edit(text, func(s *ini.Section, kind string) {
		for key, value := range p.Keys {
			k, name, _ := strings.Cut(key, ".")
			if k == kind {
				s.Key(name).SetValue(value)
			}
		}
	})
}

// edit lets f change every section of a text; kind is the part of the
// section's name before the colon.
func edit(text string, f func(s *ini.Section, kind string)) (string, error) {
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
