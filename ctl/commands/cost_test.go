package commands

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

func TestCost(t *testing.T) {
	vars := func(text string) adminclient.Vars {
		v := adminclient.Vars{}
		if err := json.Unmarshal([]byte(text), &v.Values); err != nil {
			t.Fatal(err)
		}
		return v
	}
	agent := wire.MemberStatus{Member: wire.Member{Service: "llm"}}
	members := []wire.MemberStatus{agent, agent, agent, {}, {}}
	c := sumCost(members, []adminclient.Vars{
		vars(`{"upstream_held_seconds":100,"upstream_wake_seconds":4,"gate_busy_seconds":30.5}`),
		vars(`{"upstream_held_seconds":10.5,"memstats":{}}`),
		{Address: "gone:1", Err: errors.New("refused")},
		vars(`{"stage_calls":{"chat/generate":3},"stage_upstream_seconds":{"chat/generate":2},"stage_wasted_seconds":{"chat/generate":0.5}}`),
		vars(`{"stage_calls":{"chat/generate":1},"stage_upstream_seconds":{"chat/generate":1}}`),
	})
	var out strings.Builder
	c.print(&out)
	want := [][]string{{"SERVICE", "UPSTREAMS", "HELD", "s", "WAKING", "s", "ATTEMPTS", "RAN", "s"}, {"llm", "2", "110.5", "4.0", "30.5"},
		{"STAGE", "ATTEMPTS", "TIME", "s", "WASTED", "s"}, {"chat/generate", "4", "3.0", "0.5"}, {"cost", "not", "counted:", "gone:1", "did", "not", "answer"}}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for i, row := range want {
		if i >= len(lines) || strings.Join(strings.Fields(lines[i]), " ") != strings.Join(row, " ") {
			t.Fatalf("line %d of\n%s\nwant %v", i, out.String(), row)
		}
	}
}
