package harness

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Sizes and offsets of structures in linux/inet_diag.h and linux/netlink.h, in bytes.
const (
	diagRequestSize  = unix.SizeofNlMsghdr + 56 // struct inet_diag_req_v2
	diagResponseSize = unix.SizeofNlMsghdr + 72 // struct inet_diag_msg
	diagInode        = unix.SizeofNlMsghdr + 68
	diagNoCookie     = 0xffffffff
	sockDiagFamily   = 20 // SOCK_DIAG_BY_FAMILY
)

// inodeFromKernel returns the inode of the TCP socket with these addresses (sock_diag(7)), or "" if there is none.
// It returns an error if the kernel can't be queried.
func inodeFromKernel(local, remote *net.TCPAddr) (string, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return "", os.NewSyscallError("socket", err)
	}
	defer unix.Close(fd)
	if err := unix.Sendto(fd, diagRequest(local, remote), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return "", os.NewSyscallError("sendto", err)
	}
	answer := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return "", os.NewSyscallError("recvfrom", err)
	}
	return parseDiagResponse(answer[:n])
}

func diagRequest(local, remote *net.TCPAddr) []byte {
	r := make([]byte, diagRequestSize)
	binary.NativeEndian.PutUint32(r, diagRequestSize)
	binary.NativeEndian.PutUint16(r[4:], sockDiagFamily)
	binary.NativeEndian.PutUint16(r[6:], unix.NLM_F_REQUEST)
	body := r[unix.SizeofNlMsghdr:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], 0xffffffff) // any TCP state
	id := body[8:]
	binary.BigEndian.PutUint16(id, uint16(local.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(remote.Port))
	copy(id[4:], local.IP.To4())
	copy(id[20:], remote.IP.To4())
	binary.NativeEndian.PutUint32(id[40:], diagNoCookie)
	binary.NativeEndian.PutUint32(id[44:], diagNoCookie)
	return r
}

func parseDiagResponse(a []byte) (string, error) {
	if len(a) < unix.SizeofNlMsghdr+4 {
		return "", fmt.Errorf("sock_diag: response of %d bytes is too short", len(a))
	}
	if kind := binary.NativeEndian.Uint16(a[4:]); kind == unix.NLMSG_ERROR {
		errno := unix.Errno(-int32(binary.NativeEndian.Uint32(a[unix.SizeofNlMsghdr:])))
		if errno == unix.ENOENT {
			return "", nil
		}
		return "", errno
	}
	if len(a) < diagResponseSize {
		return "", fmt.Errorf("sock_diag: response of %d bytes is too short", len(a))
	}
	return fmt.Sprint(binary.NativeEndian.Uint32(a[diagInode:])), nil
}
