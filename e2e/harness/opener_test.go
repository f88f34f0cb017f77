package harness

import (
	"net"
	"os"
	"testing"
)

// TestFindConnectionOpener finds the remote socket of a connection, both through sock_diag and in
// /proc/net/tcp, and checks that this process holds it.
func TestFindConnectionOpener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	opened, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	local, remote := opened.LocalAddr().(*net.TCPAddr), opened.RemoteAddr().(*net.TCPAddr)
	table := inodeInTable(local, remote)
	if table == "" || !holdsSocket(os.Getpid(), table) {
		t.Fatalf("inode %q in /proc/net/tcp", table)
	}
	switch asked, err := inodeFromKernel(local, remote); {
	case err != nil:
		t.Logf("sock_diag is not available: %v", err)
	case asked != table:
		t.Errorf("inode %q from sock_diag, %q in /proc/net/tcp", asked, table)
	}
	if got := inodeOf(local, remote); got != table {
		t.Errorf("inode %q", got)
	}
	nowhere := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 9}
	if got := inodeOf(nowhere, remote); got != "" {
		t.Errorf("inode %q for a socket that does not exist", got)
	}
}
