package configsync

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"caperdrum.org/api/wire"
)

// TestRejectedReplies checks replies after which the process must ask another control process, or for a
// complete list or text, and must not count as confirmed.
func TestRejectedReplies(t *testing.T) {
	text := "[data_center:a]\n"
	whole := func(version uint64) *wire.ConfigText {
		return &wire.ConfigText{Version: version, Text: text, Hash: xxhash.Sum64String(text)}
	}
	cases := map[string]struct {
		reply wire.SyncReply
		want  error
	}{
		"a cluster that lost versions":          {wire.SyncReply{Version: 4, MembersSeq: 7}, errOlderState},
		"a cluster that lost members":           {wire.SyncReply{Version: 5, MembersSeq: 6}, errOlderState},
		"a delta that leaves a gap":             {wire.SyncReply{Version: 5, MembersSeq: 9, Members: &wire.MembersDelta{From: 8, To: 9}}, errIncompleteUpdate},
		"a reply without its updates":           {wire.SyncReply{Version: 6, MembersSeq: 7}, errIncompleteUpdate},
		"a corrupt text":                        {wire.SyncReply{Version: 6, MembersSeq: 7, Config: &wire.ConfigText{Version: 6, Text: "x"}}, errTextMismatch},
		"a delta from another text":             {wire.SyncReply{Version: 6, MembersSeq: 7, Delta: &wire.ConfigDelta{Base: 4, Version: 6}}, errTextMismatch},
		"an old confirmation":                   {wire.SyncReply{Version: 5, MembersSeq: 7, StampAge: maxConfirmationAge + 1}, errStale},
		"no confirmation":                       {wire.SyncReply{Version: 5, MembersSeq: 7, StampAge: -1}, errStale},
		"a newer text with an old confirmation": {wire.SyncReply{Version: 6, MembersSeq: 7, Config: whole(6), StampAge: maxConfirmationAge + 1}, errStale},
		"an older text with its confirmation":   {wire.SyncReply{Version: 4, MembersSeq: 7, Config: whole(4)}, errOlderState},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := NewHolder(wire.Member{ID: "m"})
			first := wire.SyncReply{Version: 5, MembersSeq: 7, Config: whole(5), Members: &wire.MembersDelta{To: 7, Whole: true}}
			start := time.Unix(1000, 0)
			if _, err := h.Apply(&first, start); err != nil {
				t.Fatal(err)
			}
			_, err := h.Apply(&c.reply, start.Add(time.Second))
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			if asksWhole := h.Request(0).ConfigHash == 0; asksWhole != (c.want == errTextMismatch) {
				t.Fatalf("requests the complete text: %v", asksWhole)
			}
			if age := h.StampAge(start.Add(time.Second)); age != time.Second {
				t.Fatalf("counts as confirmed %v ago", age)
			}
			if v := h.View(); v.Version < 5 || v.MembersSeq != 7 {
				t.Fatalf("changed to %d/%d", v.Version, v.MembersSeq)
			}
		})
	}
}
