// Package settings reads and checks a process's INI settings. An invalid file is rejected
// with all its errors, each with its line and a remedy.
package settings

import (
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"caperdrum.org/api/strictini"
	"caperdrum.org/api/wire"
)

// Role is a function that a process performs; a process may have several.
type Role string

// Roles of a process.
const (
	Entry   Role = "entry"
	Control Role = "control"
	Agent   Role = "agent"
	Proxy   Role = "proxy"
)

// Node is the section [node].
type Node struct {
	Name       string `ini:"name" required:"true"`
	VM         string `ini:"vm" required:"true"`
	DataCenter string `ini:"data_center" required:"true"`
	// DataCenters are all data centres of the deployment, if known. The control role then
	// accepts orders for a data centre even while it has no members.
	DataCenters []string `ini:"data_centers"`
	// Regions are the regions of data centres, as DATA_CENTER:REGION.
	Regions        []string      `ini:"regions"`
	Roles          []string      `ini:"roles" required:"true"`
	DataDir        string        `ini:"data_dir"`
	DrainTimeout   time.Duration `ini:"drain_timeout"`
	LogLevel       string        `ini:"log_level"`
	TimelineEvents int           `ini:"timeline_events"`
	// PlainText accepts listeners without TLS on addresses that other VMs can reach, for
	// networks that no one else has access to.
	PlainText bool `ini:"plain_text"`
	// KillAfter is the time from SIGTERM until the platform kills the process. If set, it
	// replaces DrainTimeout, with a margin.
	KillAfter time.Duration `ini:"kill_after"`
	// MemoryMB is the memory limit at which the platform kills the process, in MB of 2^20 bytes; 0 means no
	// limit.
	MemoryMB int `ini:"memory"`
	// Descriptors is how many descriptors the process may have; 0 means as many as the kernel allows.
	Descriptors int `ini:"descriptors"`
	// CPU is the share of a core that the process may use; 0 means unknown.
	CPU float64 `ini:"cpu"`
}

// maxCPU is above the number of cores of any VM. It refuses an infinite value and one that has no whole number of
// millicores.
const maxCPU = 10000

// millicores returns CPU in thousandths of a core, and at least 1 for a known share.
func (n Node) millicores() int {
	if n.CPU == 0 {
		return 0
	}
	return max(1, int(math.Round(1000*n.CPU)))
}

// killMargin is the part of KillAfter left after draining, for sending the last answers and
// ending the process.
const killMargin = 400 * time.Millisecond

// Peers is the section [peers].
type Peers struct {
	Control []string `ini:"control" required:"true"` // peer addresses of control processes, or of processes that know them
	// Port replaces the ports in Control, for settings that only have the addresses of
	// another service on the same VMs.
	Port   string `ini:"port"`
	Listen string `ini:"listen"` // peer address of a process without the control role
	// FirstStart means that the whole system starts for the first time. A self-forming
	// cluster can be founded only then.
	FirstStart bool `ini:"first_start"`
}

// ControlRole is the section [control].
type ControlRole struct {
	Listen string `ini:"listen" required:"true"` // peer address
	// Advertise is the address by which others reach Listen; default Listen.
	Advertise string        `ini:"advertise"`
	Admin     string        `ini:"admin"`      // address of the administration API; optional only in a self-forming cluster
	Lease     time.Duration `ini:"lease"`      // a member is removed if it does not renew its lease for this long
	Voters    int           `ini:"voters"`     // number of voters that the automatic repair maintains
	OpenAdmin bool          `ini:"open_admin"` // administration API without keys; loopback only
	// LedgerMaxBytes is the size of the idempotency ledger in memory, in bytes, from which on new
	// keys are refused; 0 means no limit.
	LedgerMaxBytes int64 `ini:"ledger_max_bytes"`

	// SelfForming clusters need no operator's init: one of the processes in [peers] founds the
	// cluster at the first start, and every control process that it learns of becomes a voter,
	// up to Voters.
	SelfForming bool `ini:"self_forming"`
	Losses      int  `ini:"losses"` // number of disks that may be lost at once; changes require 2*Losses+1 voters
	// DataCenterLosses is the number of data centres that may be lost at once, with all their voters.
	DataCenterLosses int `ini:"data_center_losses"`
	// RolloutShare is the maximum part of a service's calls that a bad version may get during its rollout.
	RolloutShare float64 `ini:"rollout_share"`
}

// MinVoters returns the number of voters that a self-forming cluster needs before it
// accepts configuration changes.
func (c ControlRole) MinVoters() int { return 2*c.Losses + 1 }

// Debug is the section [debug].
type Debug struct {
	Listen string `ini:"listen" required:"true"` // address of the metrics and the timeline
}

// TLS is the section [tls]. Without it all connections are plain text, which is accepted only
// on loopback addresses or with PlainText.
type TLS struct {
	CA                string `ini:"ca" required:"true"`
	Certificate       string `ini:"certificate" required:"true"`
	Key               string `ini:"key" required:"true"`
	CallerCertificate string `ini:"caller_certificate"`
	CallerKey         string `ini:"caller_key"`
}

// Settings is a complete, checked settings file.
type Settings struct {
	File     string
	Node     Node
	Peers    Peers
	Control  ControlRole
	Entry    EntryRole
	Agent    AgentRole
	Proxy    ProxyRole
	Frontend Frontend
	Debug    Debug
	TLS      TLS
}

// RegionByDataCenter returns Regions as a map from data centre to region.
func (n Node) RegionByDataCenter() map[string]string {
	out := map[string]string{}
	for _, pair := range n.Regions {
		dataCenter, region, _ := strings.Cut(pair, ":")
		out[dataCenter] = region
	}
	return out
}

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Node.Roles, string(r)) }

// Member returns this process's member record without an incarnation.
func (s *Settings) Member() wire.Member {
	m := wire.Member{ID: wire.MemberID(s.Node.Name), Role: strings.Join(s.Node.Roles, "+"), VM: s.Node.VM,
		DataCenter: s.Node.DataCenter, Debug: s.Debug.Listen, Millicores: s.Node.millicores()}
	if s.HasRole(Agent) {
		m.Service, m.Gate = s.Agent.Service, s.Agent.Advertise
	}
	if s.HasRole(Proxy) {
		m.Peer = s.PeerAddress()
	}
	return m
}

func defaults() *Settings {
	return &Settings{
		Node:    Node{DrainTimeout: 30 * time.Second, LogLevel: "info", TimelineEvents: 4096},
		Control: ControlRole{Lease: 3 * time.Second, Voters: 3, LedgerMaxBytes: 128 << 20, Losses: 1, RolloutShare: 0.1},
		Proxy:   proxyDefaults(),
		Entry:   EntryRole{MaxBodyBytes: 4 << 20, StaleAfter: 5 * time.Second, MaxInFlight: 4096, MaxAnswerBytes: 16 << 20},
		Agent:   AgentRole{KeepAnswers: 2 * time.Minute, KeepAnswerBytes: 8 << 20, MaxAnswerBytes: 16 << 20, HealthPath: "/health", LeaveGrace: time.Second},
	}
}

// Load reads and checks a settings file. An error lists every problem, see strictini.Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, strictini.Problems{{File: path, Fault: err.Error(), Remedy: "name a readable settings file"}}
	}
	return Parse(path, data)
}

// Parse checks settings held in memory; path stands for the file in errors.
func Parse(path string, data []byte) (*Settings, error) {
	f, err := strictini.Parse(path, data)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := defaults()
	s.File = path
	f.Decode("node", &s.Node)
	f.Decode("peers", &s.Peers)
	f.Decode("debug", &s.Debug)
	known := []string{"node", "peers", "debug", "tls", "frontend"}
	if f.HasSection("frontend") {
		f.Decode("frontend", &s.Frontend)
	}
	if f.HasSection("tls") {
		f.Decode("tls", &s.TLS)
	}
	for _, role := range []struct {
		role Role
		out  any
	}{{Control, &s.Control}, {Entry, &s.Entry}, {Agent, &s.Agent}, {Proxy, &s.Proxy}} {
		known = append(known, string(role.role))
		switch {
		case s.HasRole(role.role):
			f.Decode(string(role.role), role.out)
		case f.HasSection(string(role.role)):
			f.Fail(string(role.role), "", fmt.Sprintf("section [%s] requires the role", role.role), "add the role to roles, or remove the section")
		}
	}
	for _, name := range f.Sections() {
		if !slices.Contains(known, name) {
			f.Fail(name, "", "unknown section ["+name+"]", "use one of: "+strings.Join(known, ", "))
		}
	}
	if s.Node.KillAfter > 0 {
		s.Node.DrainTimeout = max(0, s.Node.KillAfter-killMargin)
	}
	s.Proxy.deriveKeyAge()
	s.defaultAdvertise()
	s.replacePeerPorts(f)
	s.check(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// defaultAdvertise sets empty advertised addresses to the listening addresses.
func (s *Settings) defaultAdvertise() {
	if s.Control.Advertise == "" {
		s.Control.Advertise = s.Control.Listen
	}
	if s.Agent.Advertise == "" {
		s.Agent.Advertise = s.Agent.Listen
	}
}

func (s *Settings) check(f *strictini.File) {
	for _, r := range s.Node.Roles {
		if !slices.Contains([]Role{Entry, Control, Agent, Proxy}, Role(r)) {
			f.Fail("node", "roles", fmt.Sprintf("unknown role %q", r), "use entry, control, agent, proxy")
		}
	}
	if s.Node.LogLevel != "info" && s.Node.LogLevel != "debug" {
		f.Fail("node", "log_level", "unknown log level", "use info or debug")
	}
	if s.Node.MemoryMB < 0 {
		f.Fail("node", "memory", "memory is negative", "use MB, or 0 for no limit")
	}
	if s.Node.Descriptors < 0 {
		f.Fail("node", "descriptors", "descriptors is negative", "use a number, or 0 for what the kernel allows")
	}
	if s.Node.CPU > maxCPU {
		f.Fail("node", "cpu", fmt.Sprintf("cpu = %v is not a number of cores", s.Node.CPU), "write the share of a core, such as 0.5, or 0 if it is unknown")
	}
	for _, pair := range s.Node.Regions {
		if dataCenter, region, _ := strings.Cut(pair, ":"); dataCenter == "" || region == "" {
			f.Fail("node", "regions", fmt.Sprintf("%q is not a data centre with its region", pair), "write regions = north:east, south:west")
		}
	}
	s.checkPlainText(f)
	for _, a := range s.Peers.Control {
		checkAddress(f, "peers", "control", a)
	}
	checkAddress(f, "debug", "listen", s.Debug.Listen)
	if s.HasRole(Control) {
		s.checkControl(f)
	}
	if s.HasRole(Entry) {
		checkAddress(f, "entry", "listen", s.Entry.Listen)
	}
	if s.HasRole(Proxy) {
		s.checkProxy(f)
	}
	if s.HasRole(Agent) {
		checkAddress(f, "agent", "listen", s.Agent.Listen)
		checkAddress(f, "agent", "advertise", s.Agent.Advertise)
		checkAddress(f, "agent", "upstream", s.Agent.Upstream)
	}
}

func (s *Settings) checkControl(f *strictini.File) {
	checkAddress(f, "control", "listen", s.Control.Listen)
	checkAddress(f, "control", "advertise", s.Control.Advertise)
	checkAddress(f, "control", "admin", s.Control.Admin)
	if s.Control.Admin == "" && !s.Control.SelfForming {
		f.Fail("control", "admin", `key "admin" is missing in [control]`, "add admin = ...")
	}
	if s.Control.RolloutShare <= 0 || s.Control.RolloutShare > 1 {
		f.Fail("control", "rollout_share", "rollout_share is not above 0 and at most 1", "write rollout_share = 0.1")
	}
	if s.Control.Voters%2 == 0 && !s.Control.SelfForming {
		f.Fail("control", "voters", "voters is even", "use 1, 3 or 5")
	}
	if s.Control.OpenAdmin && !isLoopback(s.Control.Admin) {
		f.Fail("control", "open_admin", "administration API without keys on an address that other VMs can reach", "use keys, or a loopback address such as 127.0.0.1:7101")
	}
	if !slices.Contains(s.Peers.Control, s.Control.Advertise) && !s.Control.SelfForming {
		f.Fail("peers", "control", "this process's own peer address is not listed", "add "+s.Control.Advertise)
	}
	if s.Node.DataDir == "" {
		f.Fail("node", "data_dir", "a control process needs a data folder", "add data_dir = PATH")
		return
	}
	if info, err := os.Stat(s.Node.DataDir); (err != nil || !info.IsDir()) && !s.Control.SelfForming {
		f.Fail("node", "data_dir", "data folder "+s.Node.DataDir+" does not exist", "create it on a persistent disk: mkdir -p "+s.Node.DataDir)
	}
}

// checkAddress requires IP:port. Host names are rejected, since processes find each other by
// IP address.
func checkAddress(f *strictini.File, section, key, address string) {
	if address == "" {
		return // Decode reports it as missing if it is required
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		f.Fail(section, key, fmt.Sprintf("%q is not an address", address), "write IP:PORT, such as 127.0.0.1:7100")
	}
}

// checkPlainText rejects listeners without TLS on addresses that other VMs can reach.
func (s *Settings) checkPlainText(f *strictini.File) {
	if s.TLS.CA != "" || f.HasSection("tls") || s.Node.PlainText {
		return
	}
	for _, l := range []struct{ section, key, address string }{
		{"control", "listen", s.Control.Listen}, {"control", "admin", s.Control.Admin}, {"entry", "listen", s.Entry.Listen},
		{"agent", "listen", s.Agent.Listen}, {"proxy", "listen", s.Proxy.Listen}, {"peers", "listen", s.Peers.Listen}, {"debug", "listen", s.Debug.Listen}} {
		if l.address != "" && !isLoopback(l.address) {
			f.Fail(l.section, l.key, l.address+" can be reached by other VMs and there is no [tls] section", "add [tls] with ca, certificate and key, or use a loopback address")
		}
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host).IsLoopback()
}
