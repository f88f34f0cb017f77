package formation

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// process is one process of the cluster being formed.
type process struct {
	address string
	disk    bool
	rule    FounderElection
	namer   Elector
	founded bool
}

// TestNeverTwoFounders starts processes with the same seeds in a random order, with random restarts and lost
// replies. A restarted process without a disk has lost its vote and does not vote again; one with a disk
// starts over with its list of seeds. At most one process may become the founder, and exactly one must if
// nothing restarts and all replies arrive in the end.
func TestNeverTwoFounders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "processes")
		procs := map[string]*process{}
		var all []*process
		for i := range n {
			p := &process{address: fmt.Sprint("p", i), disk: rapid.Bool().Draw(t, "disk"), namer: Elector{FirstStart: true}}
			procs[p.address] = p
			all = append(all, p)
		}
		var seeds []string
		for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 1, min(3, n), rapid.ID).Draw(t, "seeds") {
			seeds = append(seeds, all[i].address)
		}
		for _, p := range all {
			p.rule = FounderElection{Self: p.address, Seeds: seeds}
		}
		lossy := true
		step := func(p *process) {
			if !p.disk || p.founded {
				return
			}
			s := p.rule.Next()
			p.founded = s.BecomeFounder
			if s.Seed == "" {
				return
			}
			seed := procs[s.Seed]
			answer := HelloReply{Known: true, HasDisk: true}
			if !seed.disk {
				answer = seed.namer.HandleHello(s.Hello)
			}
			if lossy && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				answer = HelloReply{}
			}
			p.rule.RecordReply(s.Seed, s.Hello, answer)
		}
		restarts := 0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			p := all[rapid.IntRange(0, n-1).Draw(t, "who")]
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restarts++
				p.rule = FounderElection{Self: p.address, Seeds: seeds}
				p.namer = Elector{}
				continue
			}
			step(p)
		}
		lossy = false
		for range 20 {
			for _, p := range all {
				step(p)
			}
		}
		founders, disks := 0, 0
		for _, p := range all {
			if p.founded {
				founders++
			}
			if p.disk {
				disks++
			}
		}
		if founders > 1 {
			t.Fatalf("%d founders, want at most 1", founders)
		}
		if restarts == 0 && disks > 0 && founders == 0 {
			t.Fatal("no founder although all seeds reply")
		}
	})
}
