package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
)

// relay stands at the address of a machine for its other machines and passes their connections on. Its open connections can
// be made silent: bytes are no longer passed on, in either direction, and the connections stay open. New ones work. Those of
// the machine's own process to itself are left alone.
type relay struct {
	listener net.Listener
	target   string
	own      func() int // process id of the machine's process

	mu    sync.Mutex
	links []*link
}

type link struct {
	own bool // the machine's process opened it itself

	mu     sync.Mutex
	silent bool
}

func startRelay(address, target string, own func() int) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, own: own}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *relay) pass(c net.Conn) {
	d, err := net.Dial("tcp", r.target)
	if err != nil {
		c.(*net.TCPConn).SetLinger(0)
		c.Close() // as if nothing listened there
		return
	}
	l := &link{own: hasSocket(r.own(), c.RemoteAddr().(*net.TCPAddr))}
	r.mu.Lock()
	r.links = append(r.links, l)
	r.mu.Unlock()
	go l.copy(c, d)
	l.copy(d, c)
}

// copy passes bytes on until the connection ends. Of a silent one it drops them, and its end as well.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if silent && err == nil {
			continue
		}
		if silent {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close()
			return
		}
	}
}

// silence makes all open connections silent for good, and returns how many there are.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.links {
		if l.own {
			continue
		}
		n++
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	r.links = nil
	return n
}

// hasSocket reports whether a process that this program started has the socket with the local address.
func hasSocket(pid int, local *net.TCPAddr) bool {
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return false
	}
	ip := local.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], local.Port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[1] != want {
			continue
		}
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		entries, _ := os.ReadDir(folder)
		for _, entry := range entries {
			if to, err := os.Readlink(folder + "/" + entry.Name()); err == nil && to == "socket:["+fields[9]+"]" {
				return true
			}
		}
	}
	return false
}
