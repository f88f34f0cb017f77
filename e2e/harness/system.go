package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
)

// Options set the size of a system.
type Options struct {
	Controls   int // default 3
	Voters     int // default 3
	Desks      int // upstreams of the non-idempotent service; default 2
	Engines    int // default 2
	Staged     bool
	GateRelays bool          // use relays between entries and agents too
	LoadTime   time.Duration // if set, engines accept orders, ignore fencing tokens and take this long to load
}

// Control is a control process.
type Control struct {
	*Process
	Admin   string
	DataDir string
}

// Entry is an entry process.
type Entry struct {
	*Process
	Address string
}

// Agent is an agent process with its stand-in upstream.
type Agent struct {
	*Process
	Gate     string // address of the gate itself, not of its relay
	Upstream *Upstream
}

// System is a set of separate processes that form one cluster.
type System struct {
	T        testing.TB
	Dir      string
	Network  *Network
	Controls []*Control
	Entries  []*Entry
	Agents   []*Agent
	Runs     *Runs

	opts  Options
	ip    string
	peers []string // advertised addresses of the control processes
	used  map[string]bool
}

var systems atomic.Int64

// Loopback networks 127.64.0.0 to 127.127.255.0, one per system, so that the ports of different systems do
// not conflict.
const (
	firstNet    = 64
	netCount    = 64
	subnetCount = 250
)

// New starts a system and applies Text("") as version 1.
func New(t testing.TB, o Options) *System {
	t.Helper()
	s := Prepare(t, o)
	for _, p := range s.Processes() {
		p.Start()
	}
	s.Init()
	s.MustApply(1, Text(""))
	s.AwaitReady()
	return s
}

// Prepare writes all settings files without starting a process.
func Prepare(t testing.TB, o Options) *System {
	o = withDefaults(o)
	n := int(systems.Add(1))
	s := &System{T: t, Dir: t.TempDir(), Network: NewNetwork(t), Runs: &Runs{bodies: map[string]int{}}, opts: o, used: map[string]bool{},
		ip: fmt.Sprintf("127.%d.%d.", firstNet+os.Getpid()%netCount, 1+(os.Getpid()/netCount+n*16)%subnetCount)}
	for i := range o.Controls {
		s.peers = append(s.peers, s.address(i+1))
	}
	for i := range o.Controls {
		s.addControl(i)
	}
	for i, service := range services(o) {
		s.addAgent(i, service)
	}
	for i := range entryCount {
		s.addEntry(i)
	}
	return s
}

const entryCount = 2

func withDefaults(o Options) Options {
	set := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	set(&o.Controls, 3)
	set(&o.Voters, 3)
	set(&o.Desks, 2)
	set(&o.Engines, 2)
	return o
}

func services(o Options) []string {
	var out []string
	add := func(name string, n int) {
		for range n {
			out = append(out, name)
		}
	}
	add(Desk, o.Desks)
	add("llm", o.Engines)
	if o.Staged {
		add("encoder", 2)
		add("retriever", 2)
		add("reranker", 2)
	}
	return out
}

// address returns a free address on the system's given host number. Its port is below the kernel's range of
// ephemeral ports.
func (s *System) address(host int) string {
	forkMu.RLock()
	defer forkMu.RUnlock()
	for {
		port := firstPort + rand.IntN(portCount)
		a := fmt.Sprintf("%s%d:%d", s.ip, host, port)
		l, err := net.Listen("tcp", a)
		if err != nil || s.used[a] {
			if err == nil {
				l.Close()
			}
			continue
		}
		l.Close()
		s.used[a] = true
		return a
	}
}

const (
	firstPort = 12000
	portCount = 20000
)

func (s *System) daemon(name, ini string) *Process {
	path := filepath.Join(s.Dir, name+".ini")
	if err := os.WriteFile(path, []byte(ini), 0o600); err != nil {
		s.T.Fatal(err)
	}
	p := NewProcess(s.T, name, s.Dir, Daemon(), "-settings", path)
	s.Network.Add(p)
	return p
}

// Twin returns a second process with the settings of p.
func (s *System) Twin(p *Process) *Process {
	return NewProcess(s.T, p.Name+"-twin", s.T.TempDir(), p.argv...)
}

func (s *System) header(name, dataCenter, role string, host int) string {
	return fmt.Sprintf("[node]\nname = %s\nvm = vm-%s\ndata_center = %s\nroles = %s\n%s[peers]\ncontrol = %s\n[debug]\nlisten = %s\n",
		name, name, dataCenter, role, s.dataDir(name, role), strings.Join(s.peers, ", "), s.address(host))
}

func (s *System) dataDir(name, role string) string {
	if role != "control" {
		return ""
	}
	return "data_dir = " + filepath.Join(s.Dir, "data-"+name) + "\n"
}

func (s *System) addControl(i int) {
	name := fmt.Sprintf("control-%d", i+1)
	c := &Control{Admin: s.address(i + 1), DataDir: filepath.Join(s.Dir, "data-"+name)}
	if err := os.Mkdir(c.DataDir, 0o700); err != nil {
		s.T.Fatal(err)
	}
	listen := s.address(i + 1)
	s.Network.Relay(name, s.peers[i], listen)
	c.Process = s.daemon(name, s.header(name, "north", "control", i+1)+
		fmt.Sprintf("[control]\nlisten = %s\nadvertise = %s\nadmin = %s\nvoters = %d\nopen_admin = true\n", listen, s.peers[i], c.Admin, s.opts.Voters))
	s.Controls = append(s.Controls, c)
}

const (
	firstAgent = 20
	firstEntry = 10
)

func (s *System) addAgent(i int, service string) {
	name := fmt.Sprintf("agent-%s-%d", service, i+1)
	host := firstAgent + i
	a := &Agent{Gate: s.address(host)}
	a.Upstream = s.startUpstream(s.address(host), service)
	ini := s.header(name, "south", "agent", host) + fmt.Sprintf("[agent]\nlisten = %s\nservice = %s\nupstream = %s\n", a.Gate, service, a.Upstream.Address)
	if s.opts.GateRelays {
		advertised := s.address(host)
		s.Network.Relay(name, advertised, a.Gate)
		ini += "advertise = " + advertised + "\n"
	}
	a.Process = s.daemon(name, ini)
	s.Agents = append(s.Agents, a)
}

func (s *System) addEntry(i int) {
	name := fmt.Sprintf("entry-%d", i+1)
	e := &Entry{Address: s.address(firstEntry + i)}
	e.Process = s.daemon(name, s.header(name, "north", "entry", firstEntry+i)+"[entry]\nlisten = "+e.Address+"\n")
	s.Entries = append(s.Entries, e)
}

// Processes returns all processes.
func (s *System) Processes() []*Process {
	var out []*Process
	for _, c := range s.Controls {
		out = append(out, c.Process)
	}
	for _, a := range s.Agents {
		out = append(out, a.Process)
	}
	for _, e := range s.Entries {
		out = append(out, e.Process)
	}
	return out
}

// Admin returns an administration client for all control processes.
func (s *System) Admin() *adminclient.Client {
	var all []string
	for _, c := range s.Controls {
		all = append(all, c.Admin)
	}
	return adminclient.New(all, "")
}

// Init initializes the cluster and waits until repair has added the configured number of voters.
func (s *System) Init() {
	s.T.Helper()
	Eventually(s.T, func() string {
		if _, err := s.Admin().Init(context.Background()); err != nil {
			return err.Error()
		}
		return ""
	})
	s.AwaitVoters()
}

// Status returns the status of a control process, or nil if it doesn't answer in time.
func (s *System) Status(c *Control) *wire.ControlStatus {
	if c.PID() == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	st := adminclient.New([]string{c.Admin}, "").Status(ctx)[0]
	if st.Err != nil {
		return nil
	}
	return &st.Status
}

const statusTimeout = time.Second

// Leader waits for a leader other than the given ones and returns it.
func (s *System) Leader(but ...*Control) *Control {
	s.T.Helper()
	var found *Control
	Eventually(s.T, func() string {
		for _, c := range s.Controls {
			if contains(but, c) {
				continue
			}
			if st := s.Status(c); st != nil && st.State == "leader" {
				found = c
				return ""
			}
		}
		return "a leader"
	})
	return found
}

func contains(list []*Control, c *Control) bool {
	for _, x := range list {
		if x == c {
			return true
		}
	}
	return false
}

// AwaitVoters waits until the leader reports a complete set of voters and no repair.
func (s *System) AwaitVoters() {
	s.T.Helper()
	Eventually(s.T, func() string {
		st := s.Status(s.Leader())
		if st == nil || len(st.Voters) != s.opts.Voters || len(st.Learners) != 0 || st.Repair != "" {
			return fmt.Sprintf("a complete set of voters: %+v", st)
		}
		return ""
	})
}

// AwaitCaughtUp waits until a restarted control process has applied all that the leader had applied when the wait
// began.
func (s *System) AwaitCaughtUp(c *Control) {
	s.T.Helper()
	var want uint64
	Eventually(s.T, func() string {
		if c.PID() == 0 {
			s.T.Fatalf("%s exited after its start:\n%s", c.Name, c.Log())
		}
		if st := s.Status(s.Leader()); st != nil && want == 0 {
			want = st.Applied
		}
		if st := s.Status(c); st == nil || want == 0 || st.Applied < want {
			return fmt.Sprintf("%s to catch up with entry %d: %+v", c.Name, want, st)
		}
		return ""
	})
}

// AwaitReady waits until every running entry is ready, and then AwaitMembers.
func (s *System) AwaitReady() {
	s.T.Helper()
	for _, e := range s.Entries {
		Eventually(s.T, func() string {
			if e.PID() == 0 || Ready(e) {
				return ""
			}
			return e.Name + " to be ready"
		})
	}
	s.AwaitMembers()
}

// AwaitMembers waits until the members that aren't leaving are exactly the running entries and agents.
func (s *System) AwaitMembers() {
	s.T.Helper()
	Eventually(s.T, func() string {
		rows, err := s.Admin().Members(context.Background())
		if err != nil {
			return err.Error()
		}
		known := map[string]bool{}
		for _, m := range rows {
			known[string(m.ID)] = !m.Leaving
		}
		for _, p := range s.members() {
			if (p.PID() > 0) != known[p.Name] {
				return "membership of " + p.Name
			}
		}
		return ""
	})
}

func (s *System) members() []*Process {
	return s.Processes()[len(s.Controls):]
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready queries the readiness of an entry, as a load balancer does.
func Ready(e *Entry) bool {
	resp, err := readyClient.Get("http://" + e.Address + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Concurrently calls f for all elements at the same time and waits.
func Concurrently[E any](list []E, f func(E)) {
	var wg sync.WaitGroup
	for _, e := range list {
		wg.Go(func() { f(e) })
	}
	wg.Wait()
}
