package harness

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"maps"
	"net"
	"os"
	"strings"
)

// external is returned for connections from outside the system, such as the test itself.
const external = "test"

// Opener returns the name of the process that opened the connection. It looks for the inode of the socket
// among the open files of the processes.
func (n *Network) Opener(c net.Conn) string {
	inode := inodeOf(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return external
	}
	n.mu.Lock()
	processes := maps.Clone(n.processes)
	n.mu.Unlock()
	for name, p := range processes {
		if pid := p.PID(); pid > 0 && holdsSocket(pid, inode) {
			return name
		}
	}
	return external
}

func holdsSocket(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil && to == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// inodeOf returns the inode of the socket with these addresses, or "" if there is none. It asks the kernel
// for this one socket: /proc/net/tcp lists those of the whole machine, and with tens of thousands of them
// reading it takes longer than the connection timeouts of the processes.
func inodeOf(local, remote *net.TCPAddr) string {
	if inode, err := inodeFromKernel(local, remote); err == nil {
		return inode
	}
	return inodeInTable(local, remote)
}

func inodeInTable(local, remote *net.TCPAddr) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	want := [2]string{procAddress(local), procAddress(remote)}
	s := bufio.NewScanner(f)
	for s.Scan() {
		fields := strings.Fields(s.Text())
		if len(fields) > columnInode && fields[columnLocal] == want[0] && fields[columnRemote] == want[1] {
			return fields[columnInode]
		}
	}
	return ""
}

// procAddress formats an address as /proc/net/tcp does on a little-endian machine.
func procAddress(a *net.TCPAddr) string {
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(a.IP.To4()), a.Port)
}
