package harness

import (
	"net"
	"os"
	"testing"
)

// TestFindConnectionOpener finds the socket at the other end of a connection among all sockets of the machine,
// both from the kernel's answer and from its table, and the process that holds it.
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
		t.Fatalf("inode %q by the table", table)
	}
	switch asked, err := askKernel(local, remote); {
	case err != nil:
		t.Logf("the kernel cannot be asked here: %v", err)
	case asked != table:
		t.Errorf("inode %q by the kernel, %q by its table", asked, table)
	}
	if got := inodeOf(local, remote); got != table {
		t.Errorf("inode %q", got)
	}
	nowhere := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 9}
	if got := inodeOf(nowhere, remote); got != "" {
		t.Errorf("inode %q of a socket that is not there", got)
	}
}
