package lab

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// Relays stand between the processes and the voters' peer addresses. A process that is cut off gets no bytes from
// the voters and sends none: what it sends is held back, and its connections are reset when the cut ends, as are
// those of others to it.
type Relays struct {
	l     *Lab
	mu    sync.Mutex
	links map[*link]bool
	cut   map[int]bool // ids of processes that are cut off
	peers map[string]bool
}

type link struct {
	ends [2]net.Conn
	pid  int    // of the process that opened it; zero if unknown
	to   string // peer address of the process behind the relay
	held bool
}

func newRelays(l *Lab) *Relays {
	return &Relays{l: l, links: map[*link]bool{}, cut: map[int]bool{}, peers: map[string]bool{}}
}

func (r *Relays) relay(address, behind string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.l.OnClose(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(c, address, behind)
		}
	}()
	return nil
}

// opener returns the id of the node process that opened the connection.
func (r *Relays) opener(c net.Conn) int {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return 0
	}
	for _, n := range r.l.Nodes {
		if n.cmd != nil && n.cmd.Process != nil && hasSocket(n.Pid(), inode) {
			return n.Pid()
		}
	}
	return 0
}

// socketInode finds the socket with the given ends in the kernel's table.
func socketInode(local, remote *net.TCPAddr) string {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	a, b := hexAddress(local), hexAddress(remote)
	for _, line := range strings.Split(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) > 9 && f[1] == a && f[2] == b {
			return f[9]
		}
	}
	return ""
}

func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

func hasSocket(pid int, inode string) bool {
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(folder + "/" + e.Name()); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

func (r *Relays) serve(c net.Conn, address, behind string) {
	pid := r.opener(c)
	k := &link{pid: pid, to: address}
	for r.isCut(k) { // packets that open a connection are dropped
		time.Sleep(20 * time.Millisecond)
	}
	d, err := net.DialTimeout("tcp", behind, time.Second)
	if err != nil {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		return
	}
	k.ends = [2]net.Conn{c, d}
	r.mu.Lock()
	r.links[k] = true
	r.mu.Unlock()
	go r.copy(k, c, d)
	r.copy(k, d, c)
}

func (r *Relays) isCut(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cutLocked(k)
}

func (r *Relays) cutLocked(k *link) bool {
	if r.cut[k.pid] {
		return true
	}
	for _, n := range r.l.Nodes {
		if n.Peer == k.to && n.cmd != nil && n.cmd.Process != nil && r.cut[n.Pid()] {
			return true
		}
	}
	return false
}

func (r *Relays) copy(k *link, from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		for r.isCut(k) {
			r.mu.Lock()
			k.held = true
			r.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if err != io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					t.SetLinger(0)
				}
			}
			r.mu.Lock()
			delete(r.links, k)
			r.mu.Unlock()
			from.Close()
			to.Close()
			return
		}
	}
}

// Cut cuts a process off from all voters, or ends the cut.
func (r *Relays) Cut(n *Node, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on {
		r.cut[n.Pid()] = true
		return
	}
	delete(r.cut, n.Pid())
}
