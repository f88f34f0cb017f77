package commands

import (
	"testing"
	"time"

	"caperdrum.org/api/wire"
)

func TestOnlySilentMembersLag(t *testing.T) {
	const version = 7
	row := func(v uint64, seen time.Duration) wire.MemberStatus {
		return wire.MemberStatus{ConfigVersion: v, LastSeen: seen}
	}
	has := row(version, 0)
	cases := map[string]struct {
		rows []wire.MemberStatus
		want bool
	}{
		"one unknown to a new leader": {[]wire.MemberStatus{has, row(0, -1)}, true},
		"one silent":                  {[]wire.MemberStatus{has, row(6, silentAfter+1)}, true},
		"one renewed and lags":        {[]wire.MemberStatus{has, row(6, silentAfter)}, false},
		"one silent, one lags":        {[]wire.MemberStatus{has, row(6, -1), row(6, 0)}, false},
		"all unknown to a new leader": {[]wire.MemberStatus{row(0, -1), row(0, -1)}, false},
	}
	for name, c := range cases {
		if got := onlySilent(c.rows, lagging(c.rows, version)); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
