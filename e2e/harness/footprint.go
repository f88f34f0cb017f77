package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Footprint is what a process holds: memory in bytes and open descriptors.
type Footprint struct {
	Resident    int64
	Unread      int64 // bytes in the receive queues of its sockets
	Descriptors int
}

// Memory returns the resident memory and the unread bytes together.
func (f Footprint) Memory() int64 { return f.Resident + f.Unread }

// String implements fmt.Stringer.
func (f Footprint) String() string {
	return fmt.Sprintf("%d MiB resident, %d MiB unread, %d descriptors", f.Resident>>20, f.Unread>>20, f.Descriptors)
}

// FootprintOf returns what the process with the given id holds now. Its listeners must be the only ones on the loopback
// address ip.
func FootprintOf(pid int, ip string) (Footprint, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Footprint{}, err
	}
	var f Footprint
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			if err != nil {
				return f, err
			}
			f.Resident = kilobytes << 10
		}
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return f, err
	}
	f.Descriptors = len(descriptors)
	f.Unread, err = unreadBytes(ip)
	return f, err
}

// unreadBytes returns the bytes in the receive queues of all TCP sockets whose local address is ip.
func unreadBytes(ip string) (int64, error) {
	var a, b, c, d int
	if _, err := fmt.Sscanf(ip, "%d.%d.%d.%d", &a, &b, &c, &d); err != nil {
		return 0, err
	}
	local := fmt.Sprintf("%02X%02X%02X%02X:", d, c, b, a)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	const fieldLocal, fieldState, fieldQueues = 1, 3, 4
	var sum int64
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) <= fieldQueues || !strings.HasPrefix(f[fieldLocal], local) || f[fieldState] == listening {
			continue
		}
		_, queue, _ := strings.Cut(f[fieldQueues], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// listening is the state of a listener in /proc/net/tcp, whose receive queue counts connections.
const listening = "0A"

// Peak is the largest footprint of a process while it is watched.
type Peak struct {
	stop, done chan struct{}
	largest    Footprint // with the most memory
	most       int       // descriptors
}

const sampleInterval = 10 * time.Millisecond

// WatchFootprint samples what the process with the given id holds until Stop is called. It ends by itself when the process
// has ended.
func WatchFootprint(t testing.TB, pid int, ip string) *Peak {
	p := &Peak{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(p.done)
		for {
			f, err := FootprintOf(pid, ip)
			if err != nil {
				return
			}
			if f.Memory() > p.largest.Memory() {
				p.largest = f
			}
			p.most = max(p.most, f.Descriptors)
			select {
			case <-p.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return p
}

// Stop ends the samples and returns the largest memory and the most descriptors that were seen.
func (p *Peak) Stop() Footprint {
	close(p.stop)
	<-p.done
	return Footprint{Resident: p.largest.Resident, Unread: p.largest.Unread, Descriptors: p.most}
}
