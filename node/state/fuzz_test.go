package state

import (
	"bytes"
	"testing"

	"caperdrum.org/api/wire"
)

// FuzzRestore restores damaged snapshots. A snapshot that is accepted must give a usable state whose own
// snapshot restores to the same state.
func FuzzRestore(f *testing.F) {
	m := New()
	apply(f, m, Command{Now: 1, Claims: claims(0, 2), Join: []wire.Member{{ID: "a"}}, Change: &wire.ChangeRequest{Number: 1, ChangeID: "c", Text: "t"}})
	data, _ := m.Snapshot()
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		if m.Restore(data) != nil {
			return
		}
		m.View()
		first, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := New()
		if err := again.Restore(first); err != nil {
			t.Fatal(err)
		}
		second, _ := again.Snapshot()
		if !bytes.Equal(first, second) {
			t.Fatal("a restored state differs")
		}
	})
}

// FuzzApply applies damaged commands: two machines must agree on the result.
func FuzzApply(f *testing.F) {
	data, _ := Command{Now: 1, Claims: claims(0, 2), Join: []wire.Member{{ID: "a"}}, Change: &wire.ChangeRequest{Number: 1, ChangeID: "c"}}.Encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := New(), New()
		_, errA := a.Apply(data)
		_, errB := b.Apply(data)
		x, _ := a.Snapshot()
		y, _ := b.Snapshot()
		if (errA == nil) != (errB == nil) || !bytes.Equal(x, y) {
			t.Fatalf("two machines disagree: %v, %v", errA, errB)
		}
	})
}
