package gate

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"caperdrum.org/api/timeline"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/settings"
)

// TestStopCountsAttemptsInProgressAtTheEnd ends the last attempt after Stop has checked, and the drain time right
// after that. Stop must not report the attempt as cut off.
func TestStopCountsAttemptsInProgressAtTheEnd(t *testing.T) {
	set := &settings.Settings{Peers: settings.Peers{Control: []string{"127.0.0.1:1"}}, Agent: settings.AgentRole{Listen: "127.0.0.1:0", Upstream: "127.0.0.1:1", LeaveGrace: time.Hour}}
	ring := timeline.NewRing("gate", "vm", 16)
	s := New(Params{Settings: set, Log: logr.Discard(), Ring: ring, Sync: configsync.New(configsync.Params{Settings: set, Log: logr.Discard(), Ring: ring})})
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	underWay := func(n int) {
		s.table.mu.Lock()
		defer s.table.mu.Unlock()
		s.table.running = n
	}
	underWay(1)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error)
	go func() { stopped <- s.Stop(ctx) }()
	time.Sleep(drainPoll / 2) // Stop has most likely checked by now; the test passes also if it has not
	underWay(0)
	cancel()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
