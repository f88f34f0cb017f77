package wire

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// TestMembersDeltaOnTheWire checks that deltas of all sizes survive a round trip, with and without a cached encoding.
func TestMembersDeltaOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := MembersDelta{From: rapid.Uint64().Draw(t, "from"), To: rapid.Uint64().Draw(t, "to"), Whole: rapid.Bool().Draw(t, "whole")}
		d.Changed = rapid.SliceOfN(rapid.Make[Member](), 0, 3*minCompressMembers).Draw(t, "changed")
		d.Removed = rapid.SliceOfN(rapid.Make[MemberID](), 0, 3).Draw(t, "removed")
		want := d
		if len(d.Changed) >= minCompressMembers {
			want.Changed = withoutMillicores(d.Changed)
		}
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

// withoutMillicores returns the list as a process reads it from its compressed form.
func withoutMillicores(list []Member) []Member {
	out := slices.Clone(list)
	for i := range out {
		out[i].Millicores = 0
	}
	return out
}

// previousMember is the member record of the version before Millicores.
type previousMember struct {
	ID          MemberID `json:"id"`
	Role        string   `json:"role"`
	VM          string   `json:"vm"`
	DataCenter  string   `json:"data_center"`
	Debug       string   `json:"debug"`
	Service     string   `json:"service,omitempty"`
	Gate        string   `json:"gate,omitempty"`
	Incarnation uint64   `json:"incarnation"`
	Leaving     bool     `json:"leaving,omitempty"`
	Holds       string   `json:"holds,omitempty"`
	Peer        string   `json:"peer,omitempty"`
	Direct      string   `json:"direct,omitempty"`
	Revision    uint64   `json:"revision,omitempty"`
	Version     string   `json:"version,omitempty"`
	Cold        bool     `json:"cold,omitempty"`
}

// previous returns the record without the fields that the previous version lacks.
func (m Member) previous() previousMember {
	return previousMember{ID: m.ID, Role: m.Role, VM: m.VM, DataCenter: m.DataCenter, Debug: m.Debug, Service: m.Service, Gate: m.Gate, Incarnation: m.Incarnation,
		Leaving: m.Leaving, Holds: m.Holds, Peer: m.Peer, Direct: m.Direct, Revision: m.Revision, Version: m.Version, Cold: m.Cold}
}

// previousMemberRow is the row of a compressed list of that version.
type previousMemberRow struct {
	_           struct{} `cbor:",toarray"`
	ID          MemberID
	Role        string
	VM          string
	DataCenter  string
	Debug       string
	Service     string
	Gate        string
	Incarnation uint64
	Leaving     bool
	Holds       string
	Peer        string
	Direct      string
	Revision    uint64
	Version     string
	Cold        bool
}

// TestMemberRecordsOfThePreviousVersion guards against a member record that a process of the previous version cannot
// read, or the reverse: in a message (JSON), in a replicated command or snapshot (CBOR), and in a compressed list.
func TestMemberRecordsOfThePreviousVersion(t *testing.T) {
	codecs := map[string]struct {
		marshal   func(any) ([]byte, error)
		unmarshal func([]byte, any) error
	}{
		"JSON": {json.Marshal, json.Unmarshal},
		"CBOR": {cbor.Marshal, cbor.Unmarshal},
	}
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.Make[Member]().Draw(t, "member")
		for name, c := range codecs {
			data, err := c.marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			var old previousMember
			if err := c.unmarshal(data, &old); err != nil || old != m.previous() {
				t.Fatalf("%s: the previous version reads %+v of %+v (%v)", name, old, m, err)
			}
			if data, err = c.marshal(old); err != nil {
				t.Fatal(err)
			}
			var got Member
			if err := c.unmarshal(data, &got); err != nil || got != withoutMillicores([]Member{m})[0] {
				t.Fatalf("%s: %+v of the previous version is read as %+v (%v)", name, old, got, err)
			}
		}

		list := rapid.SliceOfN(rapid.Make[Member](), minCompressMembers, 2*minCompressMembers).Draw(t, "list")
		compressed, err := compressMembers(list)
		if err != nil {
			t.Fatal(err)
		}
		data, err := Decompress(compressed)
		if err != nil {
			t.Fatal(err)
		}
		var rows []previousMemberRow
		if err := cbor.Unmarshal(data, &rows); err != nil {
			t.Fatalf("the previous version cannot read a compressed list: %v", err)
		}
		for i, r := range rows {
			if r.ID != list[i].ID || r.Incarnation != list[i].Incarnation || r.Revision != list[i].Revision || r.Version != list[i].Version || r.Cold != list[i].Cold {
				t.Fatalf("the previous version reads %+v of %+v", r, list[i])
			}
		}
		if data, err = cbor.Marshal(rows); err != nil {
			t.Fatal(err)
		}
		got, err := decompressMembers(Compress(data))
		if err != nil || !slices.Equal(got, withoutMillicores(list)) {
			t.Fatalf("a compressed list of the previous version is read as %+v, want %+v (%v)", got, list, err)
		}
	})
}

// TestMillicoresAreSentWithARenewal guards against a member record that loses its CPU share on the way to control.
func TestMillicoresAreSentWithARenewal(t *testing.T) {
	data, err := json.Marshal(SyncRequest{Member: Member{ID: "a", Millicores: 352}})
	if err != nil {
		t.Fatal(err)
	}
	var got SyncRequest
	if err := json.Unmarshal(data, &got); err != nil || got.Member.Millicores != 352 {
		t.Fatalf("%s is read as %+v (%v)", data, got.Member, err)
	}
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
