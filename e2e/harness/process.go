package harness

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// waitTimeout is the timeout of waits that should always succeed. No guaranteed time is measured with it.
const waitTimeout = 90 * time.Second

// forkMu serializes process starts with probes for free ports. Between fork and exec a child process holds a
// copy of the probe's socket, so that the port stays taken after the probe closed it.
var forkMu sync.RWMutex

// Output runs a command and returns its combined output.
func Output(cmd *exec.Cmd) []byte {
	forkMu.Lock()
	defer forkMu.Unlock()
	out, _ := cmd.CombinedOutput() // the caller checks the exit status
	return out
}

// Process is one operating-system process under test.
type Process struct {
	Name string
	Env  []string // in addition to the environment of the test
	t    testing.TB
	argv []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	status int
}

// NewProcess returns a process that is killed at the end of the test.
func NewProcess(t testing.TB, name, dir string, argv ...string) *Process {
	p := &Process{Name: name, t: t, argv: argv, log: filepath.Join(dir, name+".log")}
	t.Cleanup(p.cleanup)
	return p
}

func (p *Process) cleanup() {
	p.Kill()
	log := p.Log()
	if bytes.Contains(log, []byte("DATA RACE")) {
		p.t.Errorf("%s has a data race", p.Name)
	}
	if bytes.Contains(log, []byte("panic: ")) {
		p.t.Errorf("%s panicked", p.Name)
	}
	if p.t.Failed() {
		p.t.Logf("log of %s:\n%s", p.Name, tail(log))
	}
}

// maxLogTail is how much of a log is shown if a test fails: some minutes.
const maxLogTail = 200_000

func tail(log []byte) []byte { return log[max(0, len(log)-maxLogTail):] }

// Log returns the stdout and stderr of all starts of the process.
func (p *Process) Log() []byte {
	data, err := os.ReadFile(p.log)
	if err != nil && !os.IsNotExist(err) {
		p.t.Error(err)
	}
	return data
}

// Start starts the process; it must not be running.
func (p *Process) Start() {
	p.t.Helper()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	forkMu.Lock()
	err = cmd.Start()
	forkMu.Unlock()
	if err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		cmd.Wait()
		p.mu.Lock()
		p.status = cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(exited)
	}()
}

// PID returns the process id, or zero if the process isn't running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	select {
	case <-p.exited:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// Signal sends a signal to the process if it is running.
func (p *Process) Signal(s syscall.Signal) {
	if pid := p.PID(); pid > 0 {
		syscall.Kill(pid, s)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Stop sends SIGTERM and returns the exit status.
func (p *Process) Stop() int {
	p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// Suspend sends SIGSTOP and waits until all threads of the process have stopped: the signal alone leaves them some
// milliseconds, in which they may complete work.
func (p *Process) Suspend() {
	p.t.Helper()
	pid := p.PID()
	p.Signal(syscall.SIGSTOP)
	Eventually(p.t, func() string {
		if pid == 0 || p.PID() != pid || stopped(pid) {
			return ""
		}
		return p.Name + " to stop"
	})
}

// stopped reports whether all threads of a process are stopped by a signal.
func stopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			continue // it has ended
		}
		// The state follows the name, which is in parentheses (proc_pid_stat(5)).
		if _, state, _ := bytes.Cut(stat, []byte(") ")); !bytes.HasPrefix(state, []byte("T")) {
			return false
		}
	}
	return true
}

// Resume sends SIGCONT.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Wait waits for the process to exit and returns its exit status, or -1 if a signal killed it.
func (p *Process) Wait() int {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return 0
	}
	select {
	case <-exited:
	case <-time.After(waitTimeout):
		p.t.Errorf("%s does not exit", p.Name)
		p.Signal(syscall.SIGKILL)
		<-exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

const pollInterval = 20 * time.Millisecond

// Eventually polls until done returns "" and fails the test after a timeout. done returns what it is still
// waiting for.
func Eventually(t testing.TB, done func() string) {
	t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		missing := done()
		if missing == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", missing)
		}
		time.Sleep(pollInterval)
	}
}

// LimitFileSize sets the maximum file size (RLIMIT_FSIZE) of the running process, in bytes. The limit lasts
// until the process exits.
func (p *Process) LimitFileSize(size int64) {
	limit := unix.Rlimit{Cur: uint64(size), Max: uint64(size)}
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		p.t.Fatal(err)
	}
}
