// Package lab starts a small deployment of the project's own program on loopback addresses, with stand-ins for
// upstreams, callers, operators and the platform. It uses the standard library only.
package lab

import (
	"bytes"
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

// RevokeMs is a bound of the users' pages for the site argyris-orders.
const RevokeMs = 5000

// Lab is a running deployment.
type Lab struct {
	Root  string // folder of the project
	Dir   string // temporary folder
	Nodes []*Node
	Net   *Relays // nil without relays

	mu      sync.Mutex
	record  *os.File
	began   time.Time
	closers []func()
}

// Node is one process of the program.
type Node struct {
	Name, IP              string
	Front, Ready, Control string
	Peer                  string // address that other processes use
	Disk                  bool
	fields                map[string]string
	file, logs            string
	debug, behind         string // port of the metrics; address behind the relay
	l                     *Lab
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// New returns a lab whose record is written to record.txt in folder.
func New(folder string) (*Lab, error) {
	root := os.Getenv("PROJECT")
	if root == "" {
		return nil, fmt.Errorf("PROJECT names no folder")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Lab{Root: root, Dir: dir, record: f, began: time.Now()}, nil
}

// Note writes a line to the record.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as it stands in the record.
func (l *Lab) At(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(l.began).Seconds()) }

// OnClose has f called when the lab ends.
func (l *Lab) OnClose(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, f)
}

// Close ends all processes that the lab started and removes the temporary folder.
func (l *Lab) Close() {
	for _, n := range l.Nodes {
		n.Kill()
	}
	l.mu.Lock()
	closers := l.closers
	l.closers = nil
	l.mu.Unlock()
	for _, f := range closers {
		f()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.Dir)
	}
	l.record.Close()
}

// freePorts returns n ports that are free on all of the addresses.
func freePorts(ips []string, n int) ([]string, error) {
	var out []string
	var open []net.Listener
	defer func() {
		for _, o := range open {
			o.Close()
		}
	}()
	for tries := 0; len(out) < n; tries++ {
		if tries > 200 {
			return nil, fmt.Errorf("found no free ports")
		}
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, first)
		_, port, _ := net.SplitHostPort(first.Addr().String())
		free := true
		for _, ip := range ips[1:] {
			o, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			open = append(open, o)
		}
		if free {
			out = append(out, port)
		}
	}
	return out, nil
}

// Start starts voters processes with a disk and others without, all at once, each at an address of its own. With
// relays, connections to the voters' peer addresses go through a relay, which can cut them off.
func (l *Lab) Start(voters, others int, relays bool) error {
	var ips []string
	for i := range voters + others {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+(os.Getpid()/64)%250, i+1))
	}
	ports, err := freePorts(ips, 7)
	if err != nil {
		return err
	}
	if relays {
		l.Net = newRelays(l)
	}
	var seeds []string
	for _, ip := range ips[:3] {
		seeds = append(seeds, ip+":"+ports[2])
	}
	for i, ip := range ips {
		n := &Node{Name: fmt.Sprintf("edge-%d", i+1), IP: ip, Front: ip + ":" + ports[0], Ready: ip + ":" + ports[1], Control: ip + ":" + ports[2],
			Peer: ip + ":" + ports[3], Disk: i < voters, debug: ports[5], l: l}
		data := filepath.Join(l.Dir, n.Name, "data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		n.file, n.logs = filepath.Join(l.Dir, n.Name, "settings.ini"), filepath.Join(l.Dir, n.Name, "log.txt")
		n.fields = parseNames(Fill(fieldsText, "node", n.Name, "zone", fmt.Sprint("zone-", i%2+1), "ip", ip, "disk", fmt.Sprint(n.Disk), "data", data, "seeds", strings.Join(seeds, ","),
			"port0", ports[3], "port1", ports[4], "first", "true", "front", n.Front, "ready", n.Ready, "control", n.Control))
		if relays && n.Disk {
			n.behind = ip + ":" + ports[6]
			if err := l.Net.relay(n.Peer, n.behind); err != nil {
				return err
			}
		}
		l.Nodes = append(l.Nodes, n)
	}
	for _, n := range l.Nodes {
		if err := n.Run(); err != nil {
			return err
		}
	}
	return nil
}

// render implements the part of the platform's template language that deploy/entry.ini uses.
func render(template string, fields map[string]string) string {
	section := regexp.MustCompile(`\{\{#([\w.]+)\}\}((?:[^{]|\{[^{]|\{\{[^#/])*)\{\{/([\w.]+)\}\}`)
	out := template
	for section.MatchString(out) {
		out = section.ReplaceAllStringFunc(out, func(s string) string {
			m := section.FindStringSubmatch(s)
			value := fields[m[1]]
			if value == "" || value == "false" {
				return ""
			}
			if !strings.Contains(m[2], "{{@}}") {
				return m[2]
			}
			var b strings.Builder
			keys := strings.Split(value, ",")
			for i, key := range keys {
				comma := ","
				if i == len(keys)-1 {
					comma = ""
				}
				name, v, _ := strings.Cut(key, ":")
				b.WriteString(strings.NewReplacer("{{@}}", name, "{{.}}", v, "{{,}}", comma).Replace(m[2]))
			}
			return b.String()
		})
	}
	return regexp.MustCompile(`\{\{([\w.]+)\}\}`).ReplaceAllStringFunc(out, func(s string) string { return fields[s[2:len(s)-2]] })
}

// Run writes the settings and starts the process with the command of the deploy file.
func (n *Node) Run() error {
	template, err := os.ReadFile(filepath.Join(n.l.Root, "deploy", "entry.ini"))
	if err != nil {
		return err
	}
	text := render(strings.ReplaceAll(string(template), ":19464", ":"+n.debug), n.fields)
	if n.behind != "" {
		text = strings.Replace(text, "[control]\nlisten = "+n.Peer, "[control]\nlisten = "+n.behind+"\nadvertise = "+n.Peer, 1)
	}
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	n.cmd = exec.Command(filepath.Join(n.l.Root, "target", "caperdrum"))
	n.cmd.Dir = n.l.Root
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), Name("variable") + "=" + n.file}
	n.cmd.Stdout, n.cmd.Stderr = logs, logs
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.fields["bootstrap"] = "false"
	ended, cmd := make(chan struct{}), n.cmd
	n.ended = ended
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

// Pid returns the process's id.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) { n.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has ended.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	n.cmd.Process.Kill()
	<-n.ended
}

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// LogTail returns the end of what the process has printed.
func (n *Node) LogTail(size int) string {
	data, _ := os.ReadFile(n.logs)
	return string(data[max(0, len(data)-size):])
}

// Wait repeats f until it succeeds or the time is over.
func Wait(limit time.Duration, f func() error) error {
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err = f(); err == nil {
			return nil
		}
	}
	return err
}

var operator = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Put sends a desired state to the nodes in turn until one acknowledges it, and returns when the answer came. A
// status at which the pages end the call is an error.
func (l *Lab) Put(document string, nodes ...*Node) (acked time.Time, err error) {
	err = fmt.Errorf("not sent")
	for i := range 40 {
		n := nodes[i%len(nodes)]
		resp, e := operator.Post("http://"+n.Control+Name("put"), "application/json", strings.NewReader(document))
		if e != nil {
			err = e
			time.Sleep(100 * time.Millisecond)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		acked = time.Now()
		l.Note("operator: desired state sent to %s, status %d", n.Name, resp.StatusCode)
		if resp.StatusCode == http.StatusOK {
			return acked, nil
		}
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
		if resp.StatusCode < 500 && resp.StatusCode != 408 && resp.StatusCode != 429 {
			return acked, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return acked, err
}

// Get reads the desired state at a node.
func (l *Lab) Get(n *Node) (status int, body []byte, err error) {
	resp, err := operator.Get("http://" + n.Control + Name("get"))
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// AwaitReady waits until each node answers its readiness check with 200.
func (l *Lab) AwaitReady() error {
	for _, n := range l.Nodes {
		err := Wait(20*time.Second, func() error {
			resp, err := operator.Get("http://" + n.Ready + "/ready")
			if err != nil {
				return err
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s: status %d", n.Name, resp.StatusCode)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Request is what a caller sends.
type Request struct {
	ID, Host, Path, Key, Body string
	Method                    string // POST if empty
	DeadlineMs                int
	Header                    map[string]string
}

// Encode returns the bytes of the request.
func (r Request) Encode() []byte {
	var b bytes.Buffer
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, r.Path, r.Host, Name("attempt"), r.ID, Name("deadline"), r.DeadlineMs)
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.Key)
	}
	for name, value := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	if method != http.MethodGet {
		b.WriteString(r.Body)
	}
	return b.Bytes()
}
