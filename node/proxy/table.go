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

// table is the immutable state derived from a view, by which calls are routed.
type table struct {
	version             uint64
	membersSeq          uint64 // sequence number of the members
	config              *optext.Config
	byHost              map[string][]*optext.Route // longest prefix first
	customers           map[[sha256.Size]byte]*optext.Customer
	announced           map[string][]wire.Member
	allVersions         map[string][]wire.Member // like announced, with the versions that rollouts exclude
	members             memberset.Set
	peers               []wire.Member       // from which proxyCount and proxiesByDataCenter were computed
	proxyCount          int                 // processes that share the limits over all processes; at least one
	proxiesByDataCenter map[string][]string // IDs of these processes
	regions             residency.Regions
}

// newTable returns the table of a view. It reuses what has not changed since the previous table, which may be nil.
func newTable(v *configsync.View, regions map[string]string, previous *table) *table {
	t := &table{version: v.Version, membersSeq: v.MembersSeq, config: v.Config, announced: v.Announced, allVersions: v.AllVersions, members: v.Members, peers: v.Proxies}
	if previous != nil && previous.config == v.Config {
		t.byHost, t.customers, t.regions = previous.byHost, previous.customers, previous.regions
	} else {
		t.setConfig(v.Config, regions)
	}
	if previous != nil && configsync.SameList(previous.peers, v.Proxies) {
		t.proxyCount, t.proxiesByDataCenter = previous.proxyCount, previous.proxiesByDataCenter
	} else {
		t.setPeers(v.Proxies)
	}
	return t
}

func (t *table) setConfig(c *optext.Config, regions map[string]string) {
	t.byHost, t.customers = map[string][]*optext.Route{}, map[[sha256.Size]byte]*optext.Customer{}
	t.regions = residency.MergeRegions(regions, c)
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

func (t *table) setPeers(peers []wire.Member) {
	t.proxiesByDataCenter = map[string][]string{}
	for _, m := range peers {
		t.proxiesByDataCenter[m.DataCenter] = append(t.proxiesByDataCenter[m.DataCenter], string(m.ID))
	}
	t.proxyCount = max(len(peers), 1)
}

// proxies returns the ids of all proxy processes.
func (t *table) proxies() (out []string) {
	for _, ids := range t.proxiesByDataCenter {
		out = append(out, ids...)
	}
	return out
}

// configured reports whether this process has a configuration. The table may be nil.
func (t *table) configured() bool { return t != nil && t.version > 0 }

// leaving reports whether this incarnation of an upstream has announced that it leaves.
func (t *table) leaving(start wire.Start) bool {
	m, known := t.members.Get(start.ID)
	return known && m.Start() == start && m.Leaving
}

// route returns the route of the host with the longest prefix of path, or nil.
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

// customer returns the customer that the key belongs to, or nil.
func (t *table) customer(key string) *optext.Customer {
	if key == "" {
		return nil
	}
	return t.customers[sha256.Sum256([]byte(key))]
}

// pickService picks one of the route's services by weight; point is a random number in [0, 1).
func pickService(r *optext.Route, point float64) string {
	sum := 0.0
	for _, w := range r.Weights {
		sum += w.Weight
	}
	point *= sum
	for _, w := range r.Weights {
		if point < w.Weight {
			return w.Service
		}
		point -= w.Weight
	}
	return r.Weights[len(r.Weights)-1].Service
}

// routeNames returns the names of all routes.
func (t *table) routeNames() map[string]bool {
	names := make(map[string]bool, len(t.config.Routes))
	for _, r := range t.config.Routes {
		names[r.Name] = true
	}
	return names
}
