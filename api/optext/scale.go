package optext

import (
	"strings"
	"time"

	"caperdrum.org/api/strictini"
)

// Values of a service's scale key.
const (
	ScaleOff       = "off"
	ScaleThreshold = "threshold"
	ScaleForecast  = "forecast"
)

// WeightStore is the store that engines load model weights from.
type WeightStore struct {
	Name  string `ini:"-" json:"name"`
	Rate  int64  `ini:"rate" required:"true" json:"rate"`   // bytes per second
	Burst int64  `ini:"burst" required:"true" json:"burst"` // bytes; also the size limit of one load
}

const (
	defaultMinWarm     = 1
	defaultIdleAfter   = 10 * time.Minute
	defaultWakeLead    = 5 * time.Minute
	defaultLoadTimeout = 3 * time.Minute
)

// ModelList returns the elements of Models. The field is a string, not a slice, so that
// Service values stay comparable.
func (s *Service) ModelList() []string { return strictini.SplitList(s.Models) }

func (s *Service) setScaleDefaults() {
	s.Scale, s.MinWarm = ScaleOff, defaultMinWarm
	s.IdleAfter, s.WakeLead, s.LoadTimeout = defaultIdleAfter, defaultWakeLead, defaultLoadTimeout
}

func (p *parser) checkScale(section string, s *Service) {
	p.oneOf(section, "scale", s.Scale, ScaleOff, ScaleThreshold, ScaleForecast)
	if s.MinWarm < 0 {
		p.f.Fail(section, "min_warm", "min_warm is negative", "write 0 or more")
	}
	if s.IdleAfter <= 0 || s.LoadTimeout <= 0 || s.WakeLead < 0 {
		p.f.Fail(section, "idle_after", "idle_after, load_timeout or wake_lead is not positive", "write durations such as 10m")
	}
	if s.Scale != ScaleOff && len(s.Models) == 0 {
		p.f.Fail(section, "scale", "scale needs models to load and unload", "add models = NAME@VERSION")
	}
	for _, m := range s.ModelList() {
		model, version, found := strings.Cut(m, "@")
		if !found || model == "" || version == "" {
			p.f.Fail(section, "models", "model "+m+" names no version", "write NAME@VERSION")
		}
	}
}

func (p *parser) parseWeightStore(section, name string) {
	if p.c.WeightStore != nil {
		p.f.Fail(section, "", "a second weight store", "keep one [weight_store:NAME]")
		return
	}
	w := &WeightStore{Name: name}
	p.f.Decode(section, w)
	p.c.WeightStore = w
	if w.Rate <= 0 || w.Burst <= 0 {
		p.f.Fail(section, "rate", "rate or burst is zero", "write bytes per second and bytes")
	}
}

// checkWeightBytes rejects a load larger than the weight store's burst, since the store's
// budget could never permit it.
func (p *parser) checkWeightBytes() {
	if p.c.WeightStore == nil {
		return
	}
	for _, name := range sortedKeys(p.c.Services) {
		if s := p.c.Services[name]; s.WeightBytes > p.c.WeightStore.Burst {
			p.f.Fail("service:"+name, "weight_bytes", "weight_bytes is above the weight store's burst", "raise burst to at least one load")
		}
	}
}
