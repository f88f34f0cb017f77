package harness

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	cpuPeriod = 100 * time.Millisecond // in which a limited process may run for its share
	cpuPoll   = time.Millisecond
)

// LimitCPU limits a process to a share of one core until the returned function is called: it stands still for the rest
// of each period in which it has used its share up. Processor time that it used in excess counts in the next period.
func LimitCPU(t testing.TB, pid int, share float64) (stop func()) {
	t.Helper()
	if _, err := cpuTime(pid); err != nil {
		t.Fatalf("processor time of process %d: %v", pid, err)
	}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		limitCPU(pid, time.Duration(share*float64(cpuPeriod)), done)
	}()
	return func() {
		close(done)
		<-ended
	}
}

func limitCPU(pid int, quota time.Duration, done <-chan struct{}) {
	defer syscall.Kill(pid, syscall.SIGCONT)
	poll := time.NewTicker(cpuPoll)
	defer poll.Stop()
	periodEnd, stopped := time.Now().Add(cpuPeriod), false
	used, _ := cpuTime(pid)
	allowed := used + quota
	for {
		select {
		case <-done:
			return
		case now := <-poll.C:
			var err error
			if used, err = cpuTime(pid); err != nil {
				return // it has ended
			}
			for !now.Before(periodEnd) {
				periodEnd = periodEnd.Add(cpuPeriod)
				allowed = min(allowed, used) + quota
			}
			if over := used >= allowed; over != stopped {
				stopped = over
				signal := syscall.SIGCONT
				if over {
					signal = syscall.SIGSTOP
				}
				syscall.Kill(pid, signal) // an error means that it has ended
			}
		}
	}
}

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	// The clock of another process, see clock_getcpuclockid(3).
	const schedulerClock = 2
	var ts unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
