package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a worker has run.
type Run struct {
	Worker, ID, Tenant, Path string
	Header                   http.Header
	At                       time.Time
}

// Worker is a stand-in for a worker of a plain service. It answers as the pages say: 421 to a request for another
// instance, its health at /health, and all others with a receipt and the id of the client attempt.
type Worker struct {
	ID, Service, Zone string
	OnRun             func(Run)
	Serve             func(w http.ResponseWriter, r *http.Request) // nil: a short answer
	Silent            bool                                         // it sends no heartbeats by itself

	l        *Lab
	listener net.Listener
	server   *http.Server
	seq      atomic.Int64
	stop     chan struct{}
	once     sync.Once
}

// StartWorker starts a worker, which reports to the nodes in turn.
func (l *Lab) StartWorker(w *Worker) (*Worker, error) {
	w.l, w.stop = l, make(chan struct{})
	var err error
	if w.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go w.server.Serve(w.listener)
	if !w.Silent {
		go w.beat()
	}
	l.OnClose(w.Stop)
	return w, nil
}

// Address returns the worker's address.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Stop ends the worker.
func (w *Worker) Stop() {
	w.once.Do(func() {
		close(w.stop)
		w.server.Close()
	})
}

func (w *Worker) beat() {
	for i := 0; ; i++ {
		n := w.l.Nodes[i%len(w.l.Nodes)]
		body := w.Beat()
		resp, err := operator.Post("http://"+n.Control+Name("beat", "id", w.ID), "application/json", strings.NewReader(body))
		if err == nil {
			resp.Body.Close()
		}
		wait := 1200 * time.Millisecond
		if err != nil || resp.StatusCode/100 != 2 {
			wait = 200 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(wait):
		}
	}
}

// Beat returns the body of the worker's next heartbeat.
func (w *Worker) Beat() string {
	return Name("beat-body", "service", w.Service, "address", w.Address(), "zone", w.Zone, "state", "ready", "seq", fmt.Sprint(w.seq.Add(1)))
}

func (w *Worker) handle(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(Name("instance"), w.ID)
	if want := r.Header.Get(Name("expect")); want != "" && want != w.ID {
		rw.Header().Set(Name("attempt"), r.Header.Get(Name("attempt")))
		rw.Header().Set(Name("not-run"), "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	if w.OnRun != nil {
		w.OnRun(Run{Worker: w.ID, ID: r.Header.Get(Name("attempt")), Tenant: r.Header.Get(Name("tenant")), Path: r.URL.Path, Header: r.Header.Clone(), At: time.Now()})
	}
	rw.Header().Set(Name("attempt"), r.Header.Get(Name("attempt")))
	rw.Header().Set(Name("seal"), "seal-"+r.Header.Get(Name("attempt")))
	if w.Serve != nil {
		w.Serve(rw, r)
		return
	}
	fmt.Fprintf(rw, "done %s %d", r.Header.Get(Name("attempt")), len(body))
}
