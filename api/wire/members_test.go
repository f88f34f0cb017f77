package wire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestMembersDeltaOnTheWire checks that deltas of all sizes survive a round trip, with and without a cached encoding.
func TestMembersDeltaOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := MembersDelta{From: rapid.Uint64().Draw(t, "from"), To: rapid.Uint64().Draw(t, "to"), Whole: rapid.Bool().Draw(t, "whole")}
		d.Changed = rapid.SliceOfN(rapid.Make[Member](), 0, 3*minCompressMembers).Draw(t, "changed")
		d.Removed = rapid.SliceOfN(rapid.Make[MemberID](), 0, 3).Draw(t, "removed")
		want := d
		if rapid.Bool().Draw(t, "shared") {
			d.CacheEncoding()
		}
		for range 2 {
			data, err := json.Marshal(&d)
			if err != nil {
				t.Fatal(err)
			}
			var got MembersDelta
			if err := json.Unmarshal(data, &got); err != nil {
				t.Fatal(err)
			}
			if len(got.Changed) != len(want.Changed) || len(want.Changed) > 0 && !reflect.DeepEqual(got.Changed, want.Changed) {
				t.Fatalf("%+v became %+v", want.Changed, got.Changed)
			}
			if got.From != want.From || got.To != want.To || got.Whole != want.Whole || fmt.Sprint(got.Removed) != fmt.Sprint(want.Removed) {
				t.Fatalf("%+v became %+v", want, got)
			}
		}
	})
}

// TestDamagedMembersAreAnError decodes a compressed list truncated at every byte.
func TestDamagedMembersAreAnError(t *testing.T) {
	compressed, err := compressMembers(make([]Member, 100))
	if err != nil {
		t.Fatal(err)
	}
	for n := range compressed {
		if _, err := decompressMembers(compressed[:n]); err == nil {
			t.Fatalf("%d of %d bytes were decoded without an error", n, len(compressed))
		}
	}
}

// fleetMembers returns the member list of a deployment with the given number of processes and three upstreams for each.
func fleetMembers(processes int) []Member {
	var out []Member
	for i := range processes {
		out = append(out, Member{ID: MemberID(fmt.Sprintf("edge-place-%d", i)), Role: "proxy", VM: fmt.Sprintf("edge-place-%d", i), DataCenter: fmt.Sprint("place-", i%6),
			Debug: fmt.Sprintf("10.%d.0.%d:19464", i%6, i/6), Peer: fmt.Sprintf("10.%d.0.%d:7740", i%6, i/6), Incarnation: 1768839860000000000 + uint64(i)*977})
		for k := range 3 {
			id := MemberID(fmt.Sprintf("i-%010x", (uint64(i)*7919+uint64(k)*104729)*2654435761%(1<<40)))
			m := AnnouncedUpstream(id, fmt.Sprintf("hufi41%c", 'a'+k), fmt.Sprintf("10.%d.64.%d:8426", i%6, i/6), fmt.Sprint("place-", i%6), false).WithStartTime(1768839860000 + uint64(i))
			m.Version = "v1"
			out = append(out, m)
		}
	}
	return out
}

// TestCompressedMemberListIsSmall bounds the size of a full member list on the wire.
func TestCompressedMemberListIsSmall(t *testing.T) {
	for _, processes := range []int{90, 360, 720} {
		list := fleetMembers(processes)
		data, err := json.Marshal(MembersDelta{Whole: true, Changed: list})
		if err != nil {
			t.Fatal(err)
		}
		const maxBytesPerMember = 64 // uncompressed JSON has some 300 bytes per member
		if len(data) > maxBytesPerMember*len(list) {
			t.Errorf("%d bytes on the wire for %d members", len(data), len(list))
		}
	}
}

// BenchmarkMembersDelta measures encoding with a cached encoding, decoding, and decoding of plain JSON for comparison.
func BenchmarkMembersDelta(b *testing.B) {
	list := fleetMembers(360)
	d := (&MembersDelta{To: 1, Whole: true, Changed: list}).CacheEncoding()
	data, err := json.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("shared", func(b *testing.B) {
		for range b.N {
			if _, err := json.Marshal(d); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
	b.Run("read", func(b *testing.B) {
		for range b.N {
			var got MembersDelta
			if err := json.Unmarshal(data, &got); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("text", func(b *testing.B) {
		text, err := json.Marshal(list)
		if err != nil {
			b.Fatal(err)
		}
		for range b.N {
			var got []Member
			if err := json.Unmarshal(text, &got); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "bytes")
	})
}
