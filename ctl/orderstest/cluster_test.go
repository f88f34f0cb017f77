package orderstest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"caperdrum.org/api/wire"
	"caperdrum.org/ctl/adminclient"
	"caperdrum.org/fake/standin"
)

const (
	controls    = 3
	engines     = 3
	waitTimeout = 90 * time.Second // ample for a busy machine; the test asserts nothing about time
)

// Loopback networks 127.192.0.0 to 127.223.0.0. The e2e tests use others.
const (
	firstNet = 192
	nets     = 32
	subnets  = 250
)

// cluster is a running system of separate processes on ports assigned by the kernel.
type cluster struct {
	t       *testing.T
	dir     string
	bin     map[string]string
	procs   map[string]*exec.Cmd
	peers   []string
	admins  []string
	entry   string
	store   string
	engines []string
	admin   *adminclient.Client
	version uint64
}

// assigned holds the addresses that freeAddress has returned. The kernel may assign a port again before the process that
// it is for listens there.
var assigned sync.Map

// freeAddress returns a free port of a loopback address that only this process uses, a different one each time. On
// 127.0.0.1 the kernel could give the port to another program's connection before the cluster listens on it.
func freeAddress(t *testing.T) string {
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", firstNet+pid%nets, 1+pid/nets%subnets))
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		if _, again := assigned.LoadOrStore(l.Addr().String(), nil); !again {
			return l.Addr().String()
		}
	}
}

func startCluster(t *testing.T) *cluster {
	c := &cluster{t: t, dir: t.TempDir(), bin: map[string]string{}, procs: map[string]*exec.Cmd{}}
	for name, pkg := range map[string]string{"caperdrumd": "caperdrum.org/node/cmd/caperdrumd", "caperdrum": "caperdrum.org/ctl/cmd/caperdrum"} {
		c.bin[name] = filepath.Join(c.dir, name)
		if out, err := exec.Command("go", "build", "-o", c.bin[name], pkg).CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	t.Cleanup(c.stop)
	for range controls {
		c.peers, c.admins = append(c.peers, freeAddress(t)), append(c.admins, freeAddress(t))
	}
	for i := range controls {
		c.startControl(i)
	}
	c.store = freeAddress(t)
	c.start("store", "caperdrum", "weightstore", "-listen", c.store, "-rate", "4000000")
	for i := range engines {
		c.engines = append(c.engines, freeAddress(t))
		c.start(fmt.Sprintf("engine-%d", i), "caperdrum", "standin", "-kind", "engine", "-listen", c.engines[i], "-orders", "-ignore-tokens",
			"-load-time", "700ms", "-weight-store", c.store, "-fail-loads", "3")
		c.startAgent(i)
	}
	c.entry = freeAddress(t)
	c.daemon("entry", "entry", "[entry]\nlisten = "+c.entry)
	c.init()
	return c
}

func (c *cluster) startControl(i int) {
	data := filepath.Join(c.dir, fmt.Sprintf("data-%d", i))
	if err := os.MkdirAll(data, 0o755); err != nil {
		c.t.Fatal(err)
	}
	c.daemon(fmt.Sprintf("control-%d", i), "control\ndata_dir = "+data, "[control]\nlisten = "+c.peers[i]+"\nadmin = "+c.admins[i])
}

func (c *cluster) startAgent(i int) {
	c.daemon(fmt.Sprintf("agent-%d", i), "agent", "[agent]\nservice = llm\nlisten = "+freeAddress(c.t)+"\nupstream = "+c.engines[i])
}

func (c *cluster) daemon(name, roles, section string) {
	path := filepath.Join(c.dir, name+".ini")
	text := fmt.Sprintf("[node]\nname = %s\nvm = vm-%s\ndata_center = here\nroles = %s\n[peers]\ncontrol = %s\n%s\n[debug]\nlisten = %s\n",
		name, name, roles, strings.Join(c.peers, ", "), section, freeAddress(c.t))
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.t.Fatal(err)
	}
	c.start(name, "caperdrumd", "-settings", path)
}

func (c *cluster) start(name, bin string, args ...string) {
	cmd := exec.Command(c.bin[bin], args...)
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	log.Close()
	c.procs[name] = cmd
}

func (c *cluster) kill(name string) {
	c.procs[name].Process.Kill()
	c.procs[name].Wait()
	delete(c.procs, name)
}

func (c *cluster) stop() {
	for name := range c.procs {
		if c.t.Failed() {
			if log, err := os.ReadFile(filepath.Join(c.dir, name+".log")); err == nil {
				c.t.Logf("%s:\n%s", name, log[max(0, len(log)-3000):])
			}
		}
		c.kill(name)
	}
}

func (c *cluster) init() {
	c.eventually("the cluster is formed", func(ctx context.Context) bool {
		reply, err := adminclient.New(c.admins[:1], "").Init(ctx)
		if err == nil {
			c.admin = adminclient.New(c.admins, reply.Key.Key)
		}
		return err == nil
	})
}

// eventually waits until ok returns true, and fails the test after waitTimeout.
func (c *cluster) eventually(what string, ok func(context.Context) bool) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for !ok(ctx) {
		if ctx.Err() != nil {
			c.t.Fatalf("not within %s: %s; engines %+v", waitTimeout, what, c.states())
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// apply puts a configuration in force. service contains further keys of the engines' service.
func (c *cluster) apply(service string) {
	c.t.Helper()
	text := "[data_center:here]\nregion = here\n[service:llm]\nkind = engine\nrepeatable = true\nweight_bytes = 1000000\n" + service +
		"\n[weight_store:store]\nrate = 4000000\nburst = 2000000\n[pipeline:chat]\ndeadline = 5s\nmodel = chat\n[stage:chat/generate]\nservice = llm\n[customer:desk]\nshare = 1\n"
	c.eventually("the configuration is accepted", func(ctx context.Context) bool {
		res, err := c.admin.Apply(ctx, wire.ChangeRequest{Number: c.version + 1, Text: text, ChangeID: fmt.Sprintf("change-%d", c.version+1)})
		return err == nil && res.Accepted
	})
	c.version++
}

func get[T any](address, path string) (v T, err error) {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	return v, json.NewDecoder(resp.Body).Decode(&v)
}

func post(t *testing.T, address, path string) {
	resp, err := http.Post("http://"+address+path, "", bytes.NewReader(nil))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

func (c *cluster) states() []wire.EngineState {
	var out []wire.EngineState
	for _, e := range c.engines {
		st, _ := get[wire.EngineState](e, "/v1/engine")
		out = append(out, st)
	}
	return out
}

// countHolding counts the engines that hold exactly the given artifacts.
func (c *cluster) countHolding(holds string) int {
	n := 0
	for _, st := range c.states() {
		if wire.JoinArtifacts(st.Holds) == holds {
			n++
		}
	}
	return n
}

func (c *cluster) waitHolding(holds string, n int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%d engines hold %q", n, holds), func(context.Context) bool { return c.countHolding(holds) == n })
}

func (c *cluster) busy() bool {
	for _, st := range c.states() {
		if st.Busy {
			return true
		}
	}
	return false
}

func (c *cluster) leader() string {
	name := ""
	c.eventually("there is a leader", func(ctx context.Context) bool {
		for _, st := range c.admin.Status(ctx) {
			if st.Err == nil && st.Status.State == "leader" {
				name = string(st.Status.ID)
			}
		}
		return name != ""
	})
	return name
}

// checkLogs checks the orders that the engines received, since the engines themselves check nothing: orders
// must not overlap, and fencing tokens must increase.
func (c *cluster) checkLogs() (orders int) {
	c.t.Helper()
	for i, e := range c.engines {
		log, err := get[standin.OrderLog](e, "/v1/engine/log")
		if err != nil {
			c.t.Fatal(err)
		}
		if log.Overlap {
			c.t.Errorf("engine %d received overlapping orders", i)
		}
		last := uint64(0)
		for _, p := range log.Orders {
			if p.Order.Token <= last {
				c.t.Errorf("engine %d saw token %d after %d", i, p.Order.Token, last)
			}
			last = p.Order.Token
		}
		orders += len(log.Orders)
	}
	return orders
}
