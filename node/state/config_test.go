package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"caperdrum.org/api/wire"
)

// TestHighestVersionWins puts texts in any order and with repeats. The state must hold the first text of the
// highest version so far, an older or equal version must change nothing, and a delta from any earlier version
// must lead to the current text although versions are skipped.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		var version uint64
		text := ""
		hashes := map[uint64]uint64{}
		for i := range rapid.IntRange(1, 30).Draw(t, "puts") {
			put := &wire.PutRequest{Version: uint64(rapid.IntRange(1, 40).Draw(t, "version")), Text: fmt.Sprintf("[customer:a]\nshare = 1\n[customer:b%d]\n[customer:c]\n", i)}
			res := m.applyPut(put)
			if res.Applied != (put.Version > version) {
				t.Fatalf("version %d over %d: applied %v", put.Version, version, res.Applied)
			}
			if res.Applied {
				version, text = put.Version, put.Text
			}
			v := m.View()
			if v.Config.Version != version || v.Config.Text != text || res.Version != version {
				t.Fatalf("version %d, want %d", v.Config.Version, version)
			}
			for old, hash := range hashes {
				if d := v.TextHistory.DeltaFrom(old, hash); d != nil && (d.Base != old || d.Version != version) {
					t.Fatalf("a delta from %d leads from %d to %d", old, d.Base, d.Version)
				}
				if d := v.TextHistory.DeltaFrom(old, hash+1); d != nil {
					t.Fatalf("got a delta for another text of version %d", old)
				}
			}
			if v.TextHistory.DeltaFrom(version+100, 1) != nil {
				t.Fatal("got a delta from a version that never existed")
			}
			hashes[version] = v.Config.Hash
			delete(hashes, 0)
			m.view = nil
		}
	})
}

// TestOwnerEpochsNeverGoBack applies an older owner after a newer one.
func TestOwnerEpochsNeverGoBack(t *testing.T) {
	m := New()
	for _, epoch := range []uint64{1, 3, 2} {
		c := Command{Owner: &wire.StageOwner{ID: wire.MemberID(fmt.Sprint(epoch)), Epoch: epoch}}
		data, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Apply(data); err != nil {
			t.Fatal(err)
		}
	}
	if got := m.View().Owner; got.Epoch != 3 || got.ID != "3" {
		t.Fatalf("owner %+v", got)
	}
}
