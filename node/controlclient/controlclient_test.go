package controlclient

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/juju/errors"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/verdict"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/control"
	"caperdrum.org/node/peer"
)

// newService returns a service whose leader answers heartbeats with answer.
func newService(t *testing.T, answer func(*wire.AnnounceRequest) error) *Service {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer()
	peer.Handle(server, control.MethodAnnounce, func(_ context.Context, r *wire.AnnounceRequest) (*control.Empty, error) {
		return &control.Empty{}, answer(r)
	})
	go server.Serve(l)
	c := peer.NewLeaderClient([]string{l.Addr().String()}, peer.DialTCP)
	t.Cleanup(func() {
		c.Close()
		l.Close()
		server.Close()
	})
	return &Service{control: c, view: func() *configsync.View { return &configsync.View{Config: &optext.Config{}} }}
}

// TestHeartbeatsAreBatched sends heartbeats of many upstreams at once. Each gets a response, and they share
// fewer calls.
func TestHeartbeatsAreBatched(t *testing.T) {
	var mu sync.Mutex
	calls, seen := 0, map[wire.MemberID]bool{}
	s := newService(t, func(r *wire.AnnounceRequest) error {
		mu.Lock()
		defer mu.Unlock()
		calls++
		for _, m := range r.Upstreams {
			seen[m.ID] = true
		}
		return nil
	})
	const n = 50
	joined := make(chan *batch, n)
	for i := range n {
		joined <- s.enqueue(wire.AnnouncedUpstream(wire.MemberID(string(rune('a'+i))), "s", "x", "d", false))
	}
	for range n {
		b := <-joined
		<-b.done
		if b.err != nil {
			t.Fatal(b.err)
		}
	}
	if calls >= n || len(seen) != n {
		t.Fatalf("%d calls for %d of %d upstreams", calls, len(seen), n)
	}
}

// TestFailureReachesEveryUpstream rejects a batch: no upstream of it may be told that its heartbeat was
// recorded.
func TestFailureReachesEveryUpstream(t *testing.T) {
	s := newService(t, func(*wire.AnnounceRequest) error {
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "refused")
	})
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			err := s.Announce(context.Background(), wire.Member{ID: "i"})
			var v *verdict.Error
			if !errors.As(err, &v) {
				t.Errorf("got %v", err)
			}
		})
	}
	wg.Wait()
}

// TestOnlyConfiguredServicesAreAnnounced checks which upstreams a process accepts heartbeats from.
func TestOnlyConfiguredServicesAreAnnounced(t *testing.T) {
	config, err := optext.Parse("t", []byte("[service:a]\nkind = plain\nupstreams = announced\n[service:b]\nkind = plain\n"))
	if err != nil {
		t.Fatal(err)
	}
	none, first, known := (*configsync.View)(nil), &configsync.View{Config: &optext.Config{}}, &configsync.View{Config: config}
	for _, c := range []struct {
		name    string
		view    *configsync.View
		service string
		leaving bool
		want    error
	}{
		{"configured service", known, "a", false, nil},
		{"service with agents", known, "b", false, ErrUnknownService},
		{"service that is not configured", known, "c", false, ErrUnknownService},
		{"upstream that leaves", known, "c", true, nil},
		{"before the first configuration", first, "c", false, nil},
		{"configuration not known yet", none, "a", false, errNoConfig},
		{"upstream that leaves, configuration not known yet", none, "a", true, nil},
	} {
		s := &Service{view: func() *configsync.View { return c.view }}
		if err := s.checkAnnounce(wire.AnnouncedUpstream("m", c.service, "10.0.0.1:80", "d", c.leaving)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
