package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Usage is the resource usage of a process over a period.
type Usage struct {
	CPU   float64 `json:"cpu_us"` // CPU time, µs
	Bytes float64 `json:"bytes"`  // bytes read and written, files and connections
}

// Phase is one phase of a run: idle, with changes or with restarts.
type Phase struct {
	Seconds  float64 `json:"seconds"`
	Events   int     `json:"events"` // number of changes or restarts
	Leader   Usage   `json:"leader"`
	Follower Usage   `json:"follower"` // mean over the followers
	Members  Usage   `json:"members"`  // sum over all members; bytes of their connections
}

// Sample contains the phases of one cluster size.
type Sample struct {
	Members   int     `json:"members"`
	Customers int     `json:"customers"` // in the configuration
	Load      string  `json:"load"`      // load averages of the machine (1 and 5 min) at the end
	Idle      Phase   `json:"idle"`      // members distributed over leader and followers
	Changes   Phase   `json:"changes"`
	Restarts  Phase   `json:"restarts"`
	Aside     Phase   `json:"aside"` // idle, with all members at the followers
	InForce50 float64 `json:"in_force_p50_ms"`
	InForce99 float64 `json:"in_force_p99_ms"`
	Heap      float64 `json:"heap_bytes"`       // of all members together
	LeaderRSS float64 `json:"leader_rss_bytes"` // after the changes
}

// perEvent returns the cost of one event beyond the idle cost.
func (p Phase) perEvent(idle Phase, use func(Phase) float64) float64 {
	return (use(p) - use(idle)*p.Seconds/idle.Seconds) / float64(p.Events)
}

// perSecond returns a usage per second.
func (p Phase) perSecond(use func(Phase) float64) float64 { return use(p) / p.Seconds }

func leaderCPU(p Phase) float64     { return p.Leader.CPU }
func leaderBytes(p Phase) float64   { return p.Leader.Bytes }
func followerCPU(p Phase) float64   { return p.Follower.CPU }
func followerBytes(p Phase) float64 { return p.Follower.Bytes }
func membersCPU(p Phase) float64    { return p.Members.CPU }
func membersBytes(p Phase) float64  { return p.Members.Bytes }

const clockTick = 10_000 // µs per tick in /proc/PID/stat

// readUsage returns the usage of a process since its start.
func readUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Trace(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	read, err := readField(pid, "io", "rchar")
	if err != nil {
		return Usage{}, err
	}
	written, err := readField(pid, "io", "wchar")
	return Usage{CPU: (user + system) * clockTick, Bytes: read + written}, err
}

// readRSS returns the resident memory of a process in bytes.
func readRSS(pid int) (float64, error) {
	kb, err := readField(pid, "status", "VmRSS")
	return kb * 1024, err
}

// readField returns the number after "name:" in a file of /proc/PID.
func readField(pid int, file, name string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, errors.Trace(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			return strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return 0, errors.Errorf("capacity: no %s in /proc/%d/%s", name, pid, file)
}

// ownCPU returns the CPU time of this process in µs.
func ownCPU() float64 {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(time.Duration(u.Utime.Nano() + u.Stime.Nano()).Microseconds())
}

func loadAverages() string {
	data, _ := os.ReadFile("/proc/loadavg")
	if fields := strings.Fields(string(data)); len(fields) >= 2 {
		return fields[0] + ", " + fields[1]
	}
	return "unknown"
}
