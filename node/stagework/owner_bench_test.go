package stagework

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/control"
	"caperdrum.org/node/peer"
	"caperdrum.org/node/upstream"
)

// jobCallers is the number of processes that submit jobs.
const jobCallers = 16

// BenchmarkOwner submits jobs of a chain to an owner over connections, with upstreams that answer over HTTP
// at once: it measures a call with all its messages. Callers and upstreams run in the same process and are
// part of the figure.
func BenchmarkOwner(b *testing.B) {
	server := func(handle func(*peer.Server)) string {
		s := peer.NewServer()
		handle(s)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go s.Serve(l)
		b.Cleanup(func() { l.Close(); s.Close() })
		return l.Addr().String()
	}
	var serial sync.Mutex
	count := 0
	stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var pieces []json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&pieces); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out := make([]upstream.PieceResult, len(pieces))
		serial.Lock()
		for i := range out {
			count++
			out[i].Handle = fmt.Sprint("127.0.0.1:9999/", count)
		}
		serial.Unlock()
		json.NewEncoder(w).Encode(out)
	}))
	b.Cleanup(stand.Close)
	members := chainMembers()
	for _, list := range members {
		for i := range list {
			list[i].Direct = stand.Listener.Addr().String()
		}
	}
	native := upstream.Native{}
	s := &Service{log: logr.Discard(), notices: noNotices(), protocol: native, pool: upstream.NewPool(native, upstream.NewNotices(logr.Discard(), clockwork.NewRealClock())), events: make(chan func(time.Time), 256), dial: peer.DialTCP, link: newOwnerLink(peer.DialTCP, logr.Discard()),
		address: func() string { return "self:1" }, self: func() wire.Member { return wire.Member{ID: "self", Incarnation: 7} },
		callers: map[string]*peer.Client{}, scheduler: newScheduler(), pendingFrees: map[*worker][]storedResult{}, submissions: newSubmissions()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	b.Cleanup(s.cancel)
	go s.loop()
	s.post(func(now time.Time) {
		s.scheduler.setServices(chainServices, members)
		s.setOwnership(now, wire.StageOwner{ID: "self", Incarnation: 7, Epoch: 1}, true, "view")
	})
	owner := server(func(p *peer.Server) {
		peer.Handle(p, methodRun, s.handleRun)
		peer.Handle(p, methodDone, s.handleDone)
	})
	var clients []*peer.Client
	var addresses []string
	for range jobCallers {
		addresses = append(addresses, server(func(p *peer.Server) {
			peer.Handle(p, methodProgress, func(context.Context, *[]ProgressUpdate) (*control.Empty, error) { return &control.Empty{}, nil })
		}))
		clients = append(clients, peer.NewClient(owner, peer.DialTCP))
	}
	random := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	under := make(chan struct{}, 64)
	b.ResetTimer()
	for i := range b.N {
		under <- struct{}{}
		job := Job{ID: fmt.Sprint("call", i), SubmissionID: fmt.Sprint("handed", i), Key: fmt.Sprint("key", i), Stages: chainChats.stages(random), TimeLeft: 12 * time.Second, Goal: 2 * time.Second,
			FirstEvent: 2200 * time.Millisecond, Caller: addresses[i%jobCallers], Prompt: &Prompt{Service: "llm", Parts: []upstream.PromptPart{{ID: fmt.Sprint("shared", i%700), Tokens: 198}, {ID: "own", Tokens: 628}}}}
		wg.Go(func() {
			defer func() { <-under }()
			var r Result
			c := clients[i%jobCallers]
			if err := c.Call(context.Background(), methodRun, job, &r); err != nil {
				b.Error(err)
				return
			}
			c.Notify(context.Background(), methodDone, Done{SubmissionID: job.SubmissionID, Engine: EngineStarted})
		})
	}
	wg.Wait()
}
