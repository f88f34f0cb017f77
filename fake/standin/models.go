package standin

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// models are the models and adapters on an engine. Loading takes the fetch of
// the weights and a fixed time.
type models struct {
	clock   clockwork.Clock
	delay   time.Duration
	weights Weights
	all     bool // every name is served

	mu     sync.Mutex
	loaded map[string]bool
}

func newModels(o Options, clock clockwork.Clock) *models {
	m := &models{clock: clock, delay: o.ModelLoadDelay, weights: o.Weights, all: len(o.Models) == 0, loaded: map[string]bool{}}
	for _, name := range o.Models {
		m.loaded[name] = true
	}
	return m
}

func (m *models) serves(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.all || m.loaded[name]
}

func (m *models) load(ctx context.Context, name string) error {
	if m.serves(name) {
		return nil
	}
	if m.weights != nil {
		if err := m.weights.Fetch(ctx, name); err != nil {
			return err
		}
	}
	if !sleep(ctx, m.clock, m.delay) {
		return ctx.Err()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loaded[name] = true
	return nil
}

// unload takes a model off. After it only named models are served.
func (m *models) unload(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.all = false
	delete(m.loaded, name)
}

func (m *models) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.loaded))
	for name := range m.loaded {
		out = append(out, name)
	}
	sort.Strings(out)
	return slices.Clip(out)
}
