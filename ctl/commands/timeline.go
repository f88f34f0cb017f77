package commands

import (
	"context"
	"net/url"
	"time"

	"caperdrum.org/api/strictini"
	"caperdrum.org/api/timeline"
	"caperdrum.org/ctl/adminclient"
)

// collect asks every member's debug address for its events.
func (t *Timeline) collect(ctx context.Context, cl *adminclient.Client) ([]timeline.Event, []string, error) {
	members, err := cl.Members(ctx)
	if err != nil {
		return nil, nil, err
	}
	addresses := strictini.SplitList(t.also)
	for _, m := range members {
		addresses = append(addresses, m.Debug)
	}
	events, unreached := cl.Timeline(ctx, addresses, t.query())
	return events, unreached, nil
}

func (t *Timeline) query() string {
	q := url.Values{}
	set := func(name, value string) {
		if value != "" {
			q.Set(name, value)
		}
	}
	set("request", t.request)
	set("customer", t.customer)
	set("vm", t.vm)
	set("kind", t.kind)
	if t.since > 0 {
		at := time.Now().Add(-t.since).UnixMilli()
		q.Set("since", timeline.Stamp(uint64(at)<<16).String())
	}
	return q.Encode()
}
