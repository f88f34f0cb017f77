package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"caperdrum.org/api/wire"
)

// ModelOptions set how an engine handles orders to load and unload models.
type ModelOptions struct {
	Enabled      bool          // accept orders; otherwise the engine serves without a loaded model
	IgnoreTokens bool          // execute all orders, regardless of their fencing tokens
	LoadTime     time.Duration // duration of a load, in addition to the transfer
	Store        string        // address of the weight store; no transfer if empty
	FailLoads    string        // model version that fails to load
}

// AcceptedOrder is an order that the engine accepted, and when it began to execute it.
type AcceptedOrder struct {
	Order wire.Order `json:"order"`
	Begun time.Time  `json:"begun"`
}

// models is the state of an engine's models and orders.
type models struct {
	opts ModelOptions

	mu      sync.Mutex
	holds   []wire.Artifact
	cached  []wire.Artifact
	role    string
	token   uint64
	busy    int
	overlap bool // two orders were executed at the same time
	log     []AcceptedOrder
}

func (s *Server) modelRoutes(r chi.Router) {
	r.Get("/v1/engine", s.models.showState)
	r.Post("/v1/engine/orders", s.models.order)
	r.Get("/v1/engine/log", s.models.showLog)
	r.Post("/v1/engine/forget", s.models.forget)
}

// OrderLog is the log of an engine's orders.
type OrderLog struct {
	Orders  []AcceptedOrder `json:"orders"`
	Overlap bool            `json:"overlap"`
}

func (m *models) showState(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	writeJSON(w, wire.EngineState{TakesOrders: true, Holds: m.holds, Cached: m.cached, Role: m.role, Token: m.token, Busy: m.busy > 0})
}

func (m *models) showLog(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	writeJSON(w, OrderLog{Orders: m.log, Overlap: m.overlap})
}

// forget clears the engine's state, as a restart does.
func (m *models) forget(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holds, m.cached, m.token = nil, nil, 0
	w.WriteHeader(http.StatusNoContent)
}

func (m *models) serves() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.opts.Enabled || len(m.holds) > 0
}

func (m *models) order(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if !m.accept(o, token) {
		http.Error(w, "an order with a higher fencing token was accepted", http.StatusConflict)
		return
	}
	err := m.execute(r.Context(), o)
	m.mu.Lock()
	m.busy--
	m.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (m *models) accept(o wire.Order, token uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.opts.IgnoreTokens && token <= m.token {
		return false
	}
	m.token = max(m.token, token)
	m.overlap = m.overlap || m.busy > 0
	m.busy++
	m.log = append(m.log, AcceptedOrder{Order: o, Begun: time.Now()})
	return true
}

func (m *models) execute(ctx context.Context, o wire.Order) error {
	switch o.Kind {
	case wire.OrderLoad:
		if err := m.load(ctx, o); err != nil {
			return err
		}
		m.update(func() {
			if !slices.Contains(m.holds, o.Artifact) {
				m.holds = append(m.holds, o.Artifact)
			}
			if !slices.Contains(m.cached, o.Artifact) {
				m.cached = append(m.cached, o.Artifact)
			}
		})
	case wire.OrderUnload:
		m.update(func() {
			m.holds = slices.DeleteFunc(slices.Clone(m.holds), func(a wire.Artifact) bool { return a == o.Artifact })
		})
	case wire.OrderSetRole:
		m.update(func() { m.role = o.Role })
	default:
		return fmt.Errorf("unknown order %q", o.Kind)
	}
	return nil
}

func (m *models) update(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// load transfers the weights from the store, if there is one, and waits LoadTime.
func (m *models) load(ctx context.Context, o wire.Order) error {
	if m.opts.FailLoads != "" && o.Artifact.Version == m.opts.FailLoads {
		return fmt.Errorf("version %s cannot be loaded", o.Artifact.Version)
	}
	if m.opts.Store != "" && o.Bytes > 0 {
		u := "http://" + m.opts.Store + "/weights/" + url.PathEscape(o.Artifact.String()) + "?bytes=" + strconv.FormatInt(o.Bytes, 10)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(m.opts.LoadTime):
		return nil
	}
}
