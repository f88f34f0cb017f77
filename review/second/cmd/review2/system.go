package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// debugPort is the fixed port of the metrics in deploy/entry.ini.
const debugPort = "19464"

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{out: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// lineWriter adds each line written to it to the record.
type lineWriter struct {
	r      *record
	prefix string
	rest   string
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest += string(p)
	for {
		line, rest, found := strings.Cut(w.rest, "\n")
		if !found {
			return len(p), nil
		}
		w.r.add("%s%s", w.prefix, line)
		w.rest = rest
	}
}

// process is a process that this program started.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

func startProcess(name string, out io.Writer, env []string, argv ...string) (*process, error) {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = env, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// node is a machine of the system with one caperdrum process.
type node struct {
	name, ip, front, ready, control string
	disk                            bool
	fields                          map[string]string
	file, dataDir, logFile          string
	private                         string // address at which its process takes peers' connections; empty: its peer address
	p                               *process
}

// system is a small deployment.
type system struct {
	r       *record
	dir     string
	net     string // the first three bytes of its addresses
	ports   []string
	nodes   []*node
	workers []*process
}

// freeNet returns a part of the loopback range in which the ports are free on the addresses .1 to .60.
func freeNet(n int) (network string, ports []string, err error) {
	for try := range 200 {
		network = fmt.Sprintf("127.%d.%d", 80+(os.Getpid()+try)%100, 1+(os.Getpid()/100+try)%250)
		if l, err := net.Listen("tcp", network+".1:"+debugPort); err != nil {
			continue
		} else {
			l.Close()
		}
		ports = nil
		var open []net.Listener
		for len(ports) < n {
			l, err := net.Listen("tcp", network+".1:0")
			if err != nil {
				break
			}
			open = append(open, l)
			_, port, _ := net.SplitHostPort(l.Addr().String())
			ports = append(ports, port)
		}
		for _, l := range open {
			l.Close()
		}
		if len(ports) == n {
			return network, ports, nil
		}
	}
	return "", nil, fmt.Errorf("no free addresses")
}

// zones are those of the site, in order.
var zones = []string{"aspropyrgos", "elefsina", "marousi", "koropi"}

// newSystem lays out machines; disk says which have one.
func newSystem(r *record, disks []bool) (*system, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &system{r: r, dir: dir}
	if s.net, s.ports, err = freeNet(5); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(3, len(disks)) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%s", s.net, i+1, s.ports[2]))
	}
	for i, disk := range disks {
		s.addNode(i, disk, seeds, true)
	}
	return s, nil
}

func (s *system) addNode(i int, disk bool, seeds []string, first bool) *node {
	ip := fmt.Sprintf("%s.%d", s.net, i+1)
	n := &node{name: fmt.Sprintf("edge-%s-%d", zones[i%4], i/4+1), ip: ip, front: ip + ":" + s.ports[0], ready: ip + ":" + s.ports[1], control: ip + ":" + s.ports[2], disk: disk}
	n.file, n.dataDir, n.logFile = filepath.Join(s.dir, n.name+".ini"), filepath.Join(s.dir, n.name), filepath.Join(s.dir, n.name+".log")
	n.fields = map[string]string{
		"node": n.name, "zone": zones[i%4], "zones": "aspropyrgos:attica,elefsina:attica,marousi:attica,koropi:attica", "ip": ip,
		name("counted"): fmt.Sprint(disk), "dataDir": n.dataDir, "seeds": strings.Join(seeds, ","), name("port"): s.ports[3], "bootstrap": fmt.Sprint(first),
		name("front"): n.front, name("ready"): n.ready, name("control"): n.control, "tolerate.machines": "1", "tolerate.zones": "0",
		"limits.memoryMb": "284", "limits.cpuShare": "0.72", "bounds.graceS": "8", "bounds.revokeMs": "5000", "bounds.budgetRatio": "0.2", "bounds.budgetSlack": "58", "bounds.budgetWindowS": "10",
	}
	s.nodes = append(s.nodes, n)
	return n
}

// start starts the machine's process with the settings that the platform would write now.
func (s *system) start(n *node) error {
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	settings := render(string(template), n.fields)
	if n.private != "" {
		public := n.ip + ":" + s.ports[3]
		settings = strings.Replace(settings, "[control]\nlisten = "+public+"\n", "[control]\nlisten = "+n.private+"\nadvertise = "+public+"\n", 1)
	}
	if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.p, err = startProcess(n.name, out, []string{name("settingsVariable") + "=" + n.file, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}, "target/caperdrum")
	n.fields["bootstrap"] = "false" // from the next start on
	return err
}

func (s *system) startAll() error {
	for _, n := range s.nodes {
		if err := s.start(n); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the folder.
func (s *system) stop() {
	for _, p := range s.workers {
		p.kill()
	}
	for _, n := range s.nodes {
		if n.p != nil {
			n.p.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}

// render fills in the part of the platform's template language that deploy/entry.ini uses.
func render(template string, fields map[string]string) string {
	section := regexp.MustCompile(`\{\{#([\w.]+)\}\}((?:[^{]|\{[^{]|\{\{[^#/])*)\{\{/([\w.]+)\}\}`)
	for section.MatchString(template) { // innermost sections first
		template = section.ReplaceAllStringFunc(template, func(all string) string {
			m := section.FindStringSubmatch(all)
			value := fields[m[1]]
			switch {
			case value == "" || value == "false":
				return ""
			case !strings.Contains(m[2], "{{@}}"):
				return m[2]
			}
			var out strings.Builder
			entries := strings.Split(value, ",")
			for i, entry := range entries {
				key, v, _ := strings.Cut(entry, ":")
				comma := ","
				if i == len(entries)-1 {
					comma = ""
				}
				out.WriteString(strings.NewReplacer("{{@}}", key, "{{.}}", v, "{{,}}", comma).Replace(m[2]))
			}
			return out.String()
		})
	}
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(template, func(p string) string { return fields[p[2:len(p)-2]] })
}

// oneShot makes each request on a connection of its own.
var oneShot = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// call makes a request and returns status and body; status is zero if there was no answer. A body that breaks off is an
// error.
func call(ctx context.Context, method, url, body string, header map[string]string) (status int, h http.Header, got string, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	for name, value := range header {
		if name == "Host" {
			req.Host = value
		} else {
			req.Header.Set(name, value)
		}
	}
	resp, err := oneShot.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

// put sends a desired state to the machines in turn until it is acknowledged, as the operator does.
func (s *system) put(ctx context.Context, document string) (took time.Duration, ok bool) {
	began := time.Now()
	for i := 0; ctx.Err() == nil; i++ {
		n := s.nodes[i%len(s.nodes)]
		if n.p == nil || !n.p.running() {
			continue
		}
		one, cancel := context.WithTimeout(ctx, time.Second)
		status, _, got, err := call(one, http.MethodPost, "http://"+n.control+name("put"), document, nil)
		cancel()
		s.r.add("operator: put at %s: %d %s %v", n.name, status, strings.TrimSpace(got), err)
		if status/100 == 2 {
			return time.Since(began), true
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return time.Since(began), false
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// await repeats f until it returns true; it returns false when ctx ends first.
func await(ctx context.Context, f func() bool) bool {
	for ctx.Err() == nil {
		if f() {
			return true
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return false
}

// ready reports whether the machine says that it is ready.
func (n *node) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, _, _, _ := call(ctx, http.MethodGet, "http://"+n.ready+"/ready", "", nil)
	return status == http.StatusOK
}

func (s *system) controls() string {
	var out []string
	for _, n := range s.nodes {
		out = append(out, n.control)
	}
	return strings.Join(out, ",")
}
