package proxy

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"

	"caperdrum.org/api/optext"
	"caperdrum.org/api/wire"
	"caperdrum.org/node/configsync"
	"caperdrum.org/node/memberset"
	"caperdrum.org/node/residency"
)

// table is an immutable picture of what decides about calls.
type table struct {
	version   uint64
	seq       uint64 // of the members
	config    *optext.Config
	byHost    map[string][]*optext.Route // longest prefix first
	customers map[[sha256.Size]byte]*optext.Customer
	announced map[string][]wire.Member
	members   memberset.Set
	peers     []wire.Member       // of which proxies and proxiesIn were made
	proxies   int                 // processes that share what is bounded over all of them; at least one
	proxiesIn map[string][]string // them, by data centre
	regions   residency.Regions
}

// newTable returns the table of a view. What has not changed since before, which may be nil, is taken over.
func newTable(v *configsync.View, regions map[string]string, before *table) *table {
	t := &table{version: v.Version, seq: v.MembersSeq, config: v.Config, announced: v.Announced, members: v.Members, peers: v.Proxies}
	if before != nil && before.config == v.Config {
		t.byHost, t.customers, t.regions = before.byHost, before.customers, before.regions
	} else {
		t.takeText(v.Config, regions)
	}
	if before != nil && configsync.SameList(before.peers, v.Proxies) {
		t.proxies, t.proxiesIn = before.proxies, before.proxiesIn
	} else {
		t.takePeers(v.Proxies)
	}
	return t
}

func (t *table) takeText(c *optext.Config, regions map[string]string) {
	t.byHost, t.customers = map[string][]*optext.Route{}, map[[sha256.Size]byte]*optext.Customer{}
	t.regions = residency.RegionsOf(regions, c)
	for _, r := range c.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for _, c := range c.Customers {
		for _, key := range c.Keys {
			t.customers[sha256.Sum256([]byte(key))] = c
		}
	}
}

func (t *table) takePeers(peers []wire.Member) {
	t.proxiesIn = map[string][]string{}
	for _, m := range peers {
		t.proxiesIn[m.DataCenter] = append(t.proxiesIn[m.DataCenter], string(m.ID))
	}
	t.proxies = max(len(peers), 1)
}

// configured reports whether this process knows a configuration.
func (t *table) configured() bool { return t != nil && t.version > 0 }

// leaving reports whether the start of an upstream has said that it leaves.
func (t *table) leaving(start wire.Start) bool {
	m, known := t.members.Get(start.ID)
	return known && m.Start() == start && m.Leaving
}

// route returns the route of the host with the longest prefix of path.
func (t *table) route(host, path string) *optext.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// customer returns whose key it is, or nil.
func (t *table) customer(key string) *optext.Customer {
	if key == "" {
		return nil
	}
	return t.customers[sha256.Sum256([]byte(key))]
}

// service picks one of the route's services by its weights; at is between 0
// and 1.
func service(r *optext.Route, at float64) string {
	sum := 0.0
	for _, w := range r.Weights {
		sum += w.Weight
	}
	at *= sum
	for _, w := range r.Weights {
		if at < w.Weight {
			return w.Service
		}
		at -= w.Weight
	}
	return r.Weights[len(r.Weights)-1].Service
}
