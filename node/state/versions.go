package state

import (
	"maps"
	"slices"
	"time"

	"caperdrum.org/api/wire"
)

// versionRetention is how long a software version is remembered after its last upstream has gone. It is well above
// the time in which a caller can take up a stream that began there, and above any step of a leader's clock.
const versionRetention = 2 * time.Hour

// versionTimes holds, by service and version, when an upstream of the version was last added, changed or removed, in
// milliseconds since the Unix epoch. Views share it, so that it is copied when it changes.
type versionTimes map[string]map[string]int64

// recordVersion records that there is or was an upstream of the member's version until now.
func (m *Machine) recordVersion(x wire.Member) {
	if x.Role != wire.AnnouncedRole || x.Service == "" {
		return
	}
	if at, known := m.s.Versions[x.Service][x.Version]; known && at == m.s.Now {
		return
	}
	times := maps.Clone(m.s.Versions[x.Service])
	maps.DeleteFunc(times, func(_ string, at int64) bool { return at < m.s.Now-versionRetention.Milliseconds() })
	if times == nil {
		times = map[string]int64{}
	}
	times[x.Version] = m.s.Now
	m.s.Versions = maps.Clone(m.s.Versions)
	if m.s.Versions == nil {
		m.s.Versions = versionTimes{}
	}
	m.s.Versions[x.Service] = times
}

// sinceCreation is the VersionsFrom of a history that goes back to the creation of the cluster.
const sinceCreation = 1

// beginVersions begins the history of versions: at the first command of a cluster, or at the first one after a
// snapshot without a history.
func (m *Machine) beginVersions() {
	if m.s.VersionsFrom > 0 {
		return
	}
	m.s.VersionsFrom = sinceCreation
	if len(m.s.Members) > 0 {
		m.s.VersionsFrom = max(m.s.Now, sinceCreation+1)
	}
	for _, x := range m.s.Members {
		m.recordVersion(x)
	}
}

// RecentVersions returns the software versions that upstreams of the service have had for some time, sorted: those
// that serve, and those of which the last upstream has gone within versionRetention. complete is false if the history
// does not reach back that far.
func (v *View) RecentVersions(service string) (versions []string, complete bool) {
	oldest := v.now - versionRetention.Milliseconds()
	seen := map[string]bool{}
	for version, at := range v.versions[service] {
		if at >= oldest {
			seen[version] = true
		}
	}
	for _, x := range v.Members {
		if x.Role == wire.AnnouncedRole && x.Service == service {
			seen[x.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(seen)), v.versionsFrom == sinceCreation || v.versionsFrom > 0 && v.versionsFrom <= oldest
}
