package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// workerOptions say how a stand-in worker behaves. All of it is what the users' pages allow a worker.
type workerOptions struct {
	id, service, addr, zone, version string
	controls                         []string
	born                             int64
	events                           int
	pause                            time.Duration
	unframed                         bool          // answers have neither a length nor chunks and end with their connection
	cut                              time.Duration // for so long after its start, none of its heartbeats arrives
}

// worker is a stand-in of a worker: one process, which prints what it runs.
type worker struct {
	o     workerOptions
	seq   atomic.Int64
	state atomic.Value
	cut   atomic.Bool // its way to the control addresses is cut

	started time.Time
}

func workerMain(args []string) int {
	var o workerOptions
	var controls string
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&o.id, "id", "", "")
	f.StringVar(&o.service, "service", "", "")
	f.StringVar(&o.addr, "addr", "", "")
	f.StringVar(&o.zone, "zone", "aspropyrgos", "")
	f.StringVar(&o.version, "version", "v1", "")
	f.StringVar(&controls, "controls", "", "")
	f.Int64Var(&o.born, "born", 0, "")
	f.IntVar(&o.events, "events", 30, "")
	f.DurationVar(&o.pause, "pause", 100*time.Millisecond, "")
	f.BoolVar(&o.unframed, "unframed", false, "")
	f.DurationVar(&o.cut, "cut", 0, "")
	f.Parse(args)
	o.controls = strings.Split(controls, ",")
	w := &worker{o: o, started: time.Now()}
	w.state.Store("ready")
	l, err := net.Listen("tcp", o.addr)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	go http.Serve(l, w)
	leave, cut := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	signal.Notify(cut, syscall.SIGUSR2)
	for beat := time.Now(); ; {
		w.beat()
		beat = beat.Add(1200 * time.Millisecond)
		select {
		case <-leave:
			w.state.Store("draining")
			beat = time.Now()
		case <-cut:
			w.cut.Store(true)
		case <-time.After(time.Until(beat)):
		}
	}
}

// beat sends a heartbeat to the machines in turn until one acknowledges it.
func (w *worker) beat() {
	state := w.state.Load().(string)
	body := map[string]any{"service": w.o.service, "addr": w.o.addr, "zone": w.o.zone, "version": w.o.version, "slots": 6, "state": state, "coldLeftMs": 0, "seq": w.seq.Add(1)}
	if w.o.born > 0 {
		body["born"] = w.o.born
	}
	data, _ := json.Marshal(body)
	if w.cut.Load() || time.Since(w.started) < w.o.cut {
		return
	}
	w.send(state, string(data))
}

func (w *worker) send(state, data string) {
	for i := range w.o.controls {
		control := w.o.controls[(int(w.seq.Load())+i)%len(w.o.controls)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, _, _, _ := call(ctx, http.MethodPost, "http://"+control+replaceID(name("heartbeat"), w.o.id), data, nil)
		cancel()
		if status/100 == 2 {
			fmt.Printf("heartbeat acknowledged: state %s, version %s, born %d\n", state, w.o.version, w.o.born)
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(name("id"))
	rw.Header().Set(name("id"), id)
	if expected := r.Header.Get(name("expected")); expected != "" && expected != w.o.id {
		rw.Header().Set(name("notRun"), "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set(name("instance"), w.o.id)
		return
	}
	if r.URL.Path == "/report" {
		fmt.Fprint(rw, `{"queued":0,"active":0,"busy":0,"seq":0,"models":[],"kvUsed":0,"kvTotal":100000,"handles":0,"freeMb":100}`)
		return
	}
	var body bytes.Buffer
	body.ReadFrom(r.Body)
	switch r.URL.Path {
	case name("runPieces"):
		w.pieces(rw, body.Bytes())
		return
	case name("freePieces"):
		return
	}
	last := 0
	fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	fmt.Printf("runs %s %s %s from event %d version %s deadline %s\n", id, r.Method, r.URL.Path, last+1, w.o.version, r.Header.Get(name("deadline")))
	rw.Header().Set(name("seal"), "seal-"+w.o.id+"-"+id)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		w.stream(rw, r, id, last)
		return
	}
	time.Sleep(30 * time.Millisecond)
	fmt.Fprintf(rw, "%s by %s", id, w.o.id)
	fmt.Printf("ends %s\n", id)
}

// pieces runs the pieces of a call.
func (w *worker) pieces(rw http.ResponseWriter, body []byte) {
	var in struct {
		Items []struct {
			ID           string
			Stage, Piece int
		}
	}
	type item struct {
		Handle string `json:"handle"`
	}
	var out struct {
		Items []item `json:"items"`
	}
	if json.Unmarshal(body, &in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration(20+2*len(in.Items)) * time.Millisecond)
	for _, p := range in.Items {
		fmt.Printf("makes piece %d of stage %d of %s\n", p.Piece, p.Stage, p.ID)
		out.Items = append(out.Items, item{fmt.Sprintf("%s/%s-%d-%d", w.o.addr, p.ID, p.Stage, p.Piece)})
	}
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(out)
}

// stream writes the events after the given one.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string, last int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	write := func(text string) bool {
		_, err := rw.Write([]byte(text))
		return err == nil && http.NewResponseController(rw).Flush() == nil
	}
	if w.o.unframed {
		conn, buf, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n", name("id"), id, name("seal"), rw.Header().Get(name("seal")))
		write = func(text string) bool {
			_, err := buf.WriteString(text)
			return err == nil && buf.Flush() == nil
		}
	}
	for n := last + 1; n <= w.o.events; n++ {
		if !write(fmt.Sprintf("id: %d\ndata: %s event %d of %d by %s %s\n\n", n, id, n, w.o.events, w.o.id, w.o.version)) {
			fmt.Printf("cut %s at event %d\n", id, n)
			return
		}
		time.Sleep(w.o.pause)
	}
	fmt.Printf("ends %s\n", id)
}

// startWorker starts a stand-in worker as a process of its own.
func (s *system) startWorker(name string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p, err := startProcess(name, &lineWriter{r: s.r, prefix: "worker " + name + ": "}, nil, append([]string{self, "worker", "-controls", s.controls()}, args...)...)
	if err == nil {
		s.workers = append(s.workers, p)
	}
	return p, err
}
