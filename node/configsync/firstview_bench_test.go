package configsync

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"caperdrum.org/api/wire"
	"caperdrum.org/node/peer"
)

// fleetText returns the configuration text of a deployment with the given number of customers.
func fleetText(customers int) string {
	var b strings.Builder
	b.WriteString("[service:pool]\nkind = engine\nupstreams = announced\nmax_connections = 450\nengine_slots = 16\nengine_tokens = 549213\n")
	b.WriteString("[service:desk]\nkind = plain\nupstreams = announced\nmax_connections = 300\n")
	for _, s := range []string{"lots", "certs", "prices"} {
		fmt.Fprintf(&b, "[service:%s]\nkind = batch\nupstreams = announced\nmax_connections = 450\ncalls = 1\nbatch = 16\ncall_time = 240ms\npiece_time = 13ms\n", s)
	}
	for i := range customers / 2 {
		fmt.Fprintf(&b, "[route:r%d]\nhost = h%d.example\npath_prefix = /p%d/\nservice = pool\nstreaming = true\nattempts = 2\ntimeout = 12s\ngoal = 1200ms\n[route_stage:r%d/0]\nservice = lots\nresult_bytes = 800000\n", i, i, i, i)
	}
	for i := range customers {
		fmt.Fprintf(&b, "[customer:c%d]\nkeys = %016x%04d, %016x%04d\n", i, uint64(i)*0x9e3779b97f4a7c15, i, uint64(i)*0xbf58476d1ce4e5b9, i)
	}
	return b.String()
}

func fleetMembers(processes int) []wire.Member {
	var out []wire.Member
	for i := range processes {
		out = append(out, wire.Member{ID: wire.MemberID(fmt.Sprintf("edge-place-%d", i)), Role: "proxy", VM: fmt.Sprintf("edge-place-%d", i), DataCenter: fmt.Sprint("place-", i%6),
			Debug: fmt.Sprintf("10.%d.0.%d:19464", i%6, i/6), Peer: fmt.Sprintf("10.%d.0.%d:7740", i%6, i/6), Incarnation: 1768839860000000000 + uint64(i)*977})
		for k := range 3 {
			id := wire.MemberID(fmt.Sprintf("i-%010x", (uint64(i)*7919+uint64(k)*104729)*2654435761%(1<<40)))
			m := wire.AnnouncedUpstream(id, []string{"pool", "lots", "certs"}[k], fmt.Sprintf("10.%d.64.%d:8426", i%6, i/6), fmt.Sprint("place-", i%6), false).WithStartTime(1768839860000 + uint64(i))
			m.Version = "v1"
			out = append(out, m)
		}
	}
	return out
}

func BenchmarkFirstView(b *testing.B) {
	text := fleetText(333)
	b.Logf("text %d", len(text))
	delta := (&wire.MembersDelta{Whole: true, To: 9, Changed: fleetMembers(360)}).CacheEncoding()
	reply := &wire.SyncReply{Version: 3, MembersSeq: 9, Config: &wire.ConfigText{Version: 3, Text: text, Hash: xxhash.Sum64String(text)}, Members: delta}
	b.Run("call", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		s := peer.NewServer()
		peer.Handle(s, MethodSync, func(context.Context, *wire.SyncRequest) (*wire.SyncReply, error) { return reply, nil })
		go s.Serve(l)
		c := peer.NewClient(l.Addr().String(), peer.DialTCP)
		defer c.Close()
		for b.Loop() {
			var got wire.SyncReply
			if err := c.Call(context.Background(), MethodSync, wire.SyncRequest{}, &got); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			h := NewHolder(wire.Member{})
			if _, err := h.Apply(reply, time.Now()); err != nil {
				b.Fatal(err)
			}
		}
	})
}
