package state

import (
	"slices"
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

func announcedOf(id, service, version string, incarnation uint64) wire.Member {
	m := wire.AnnouncedUpstream(wire.MemberID(id), service, "10.0.0.1:80", "north", false)
	m.Version, m.Incarnation = version, incarnation
	return m
}

// TestRecentVersions checks which versions of a service streams may have begun at: also versions whose upstreams have
// gone, or have started again under their id with another version, for versionRetention.
func TestRecentVersions(t *testing.T) {
	m, now := New(), int64(1_700_000_000_000)
	apply := func(c Command) {
		t.Helper()
		c.Now = now
		data, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := m.Apply(data); err != nil {
			t.Fatal(err)
		}
	}
	want := func(when string, versions ...string) {
		t.Helper()
		if got, complete := m.View().RecentVersions("llm"); !slices.Equal(got, versions) || !complete {
			t.Errorf("%s: %q %t, want %q", when, got, complete, versions)
		}
	}
	apply(Command{})
	want("at first")
	apply(Command{Join: []wire.Member{announcedOf("a", "llm", "v1", 1), announcedOf("x", "desk", "v9", 1)}})
	want("one upstream", "v1")
	now += 3 * versionRetention.Milliseconds()
	apply(Command{Join: []wire.Member{announcedOf("b", "llm", "v2", 1)}})
	want("another version joins much later", "v1", "v2")
	now += 3 * versionRetention.Milliseconds()
	apply(Command{Remove: []Removal{{"a", 1}}})
	want("the last upstream of a version is removed", "v1", "v2")
	now += versionRetention.Milliseconds() - 1
	apply(Command{})
	want("almost too long ago", "v1", "v2")
	now += 2
	apply(Command{})
	want("too long ago", "v2")
	apply(Command{Join: []wire.Member{announcedOf("b", "llm", "v3", 2)}})
	want("an upstream starts again with another version", "v2", "v3")

	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	m = restored
	want("after a snapshot", "v2", "v3")
}

// TestVersionsOfASnapshotWithoutHistory restores a snapshot of an earlier release: versions that have gone before are not
// known, so that the history is incomplete until it is long enough.
func TestVersionsOfASnapshotWithoutHistory(t *testing.T) {
	m := New()
	m.s.Now, m.s.Members = 1_700_000_000_000, map[wire.MemberID]wire.Member{"a": announcedOf("a", "llm", "v1", 1)}
	for _, x := range []struct {
		after    time.Duration
		complete bool
	}{{0, false}, {time.Second, false}, {versionRetention - time.Second, false}, {versionRetention, true}} {
		if x.after > 0 {
			c := Command{Now: 1_700_000_000_000 + x.after.Milliseconds()}
			data, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := m.Apply(data); err != nil {
				t.Fatal(err)
			}
		}
		if got, complete := m.View().RecentVersions("llm"); !slices.Equal(got, []string{"v1"}) || complete != x.complete {
			t.Errorf("after %v: %q %t", x.after, got, complete)
		}
	}
}
