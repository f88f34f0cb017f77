package standin

import (
	"context"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Host runs several stand-ins in one process, each on its own address, and provides an HTTP interface to
// control them.
type Host struct {
	mu    sync.Mutex
	items map[string]*hosted
}

// hosted is a stand-in with its HTTP server, which is nil while connections are refused.
type hosted struct {
	address string
	server  *Server
	http    *http.Server
}

// NewHost returns a host without any stand-in.
func NewHost() *Host { return &Host{items: map[string]*hosted{}} }

// Add starts a stand-in on the address.
func (h *Host) Add(name, address string, o Options) error {
	item := &hosted{address: address, server: New(o)}
	if err := item.listen(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.items[name] = item
	return nil
}

func (i *hosted) listen() error {
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	i.address = l.Addr().String()
	i.http = &http.Server{Handler: i.server.Handler()}
	go i.http.Serve(l)
	return nil
}

// set injects a fault and closes or opens the listener accordingly.
func (i *hosted) set(f Fault) error {
	i.server.SetFault(f)
	if f.Refuse && i.http != nil {
		err := i.http.Close()
		i.http = nil
		return err
	}
	if !f.Refuse && i.http == nil {
		return i.listen()
	}
	return nil
}

// Address returns the listen address of the named stand-in.
func (h *Host) Address(name string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.items[name].address
}

// Close stops all stand-ins at once, without waiting for requests in progress.
func (h *Host) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.items {
		if i.http != nil {
			i.http.Close()
		}
	}
}

// Control returns the HTTP interface for all stand-ins: GET /account and /runs, POST /reset, /fault/NAME and
// /load-lag/DURATION.
func (h *Host) Control() http.Handler {
	r := chi.NewRouter()
	r.Get("/account", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.Accounts()) })
	r.Get("/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.runs()) })
	r.Post("/reset", h.reset)
	r.Post("/fault/{name}", h.fault)
	r.Post("/load-lag/{lag}", h.loadLag)
	return r
}

// Accounts returns the account of every stand-in, ordered by name.
func (h *Host) Accounts() []Account {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]Account, 0, len(h.items))
	for name, i := range h.items {
		a := i.server.Account()
		a.Name = name
		out = append(out, a)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// runs returns how often each request body was run by all plain services together.
func (h *Host) runs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]int{}
	for _, i := range h.items {
		for body, n := range i.server.Runs() {
			out[body] += n
		}
	}
	return out
}

func (h *Host) reset(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.items {
		if err := i.set(Fault{}); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		i.server.Reset()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *Host) fault(w http.ResponseWriter, r *http.Request) {
	f, ok := read[Fault](w, r)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.items[chi.URLParam(r, "name")]
	if i == nil {
		http.Error(w, "no such stand-in", http.StatusNotFound)
		return
	}
	if err := i.set(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// loadLag sets the lag of all engines' load reports until the next reset.
func (h *Host) loadLag(w http.ResponseWriter, r *http.Request) {
	lag, err := time.ParseDuration(chi.URLParam(r, "lag"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.items {
		if i.server.engine != nil {
			i.server.engine.load.setLag(lag)
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// Serve serves the control interface until ctx ends.
func (h *Host) Serve(ctx context.Context, l net.Listener) error {
	s := &http.Server{Handler: h.Control()}
	go func() {
		<-ctx.Done()
		s.Close()
	}()
	if err := s.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}
