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

// Usage is what a process used between two moments.
type Usage struct {
	CPU   float64 `json:"cpu_us"` // processor time, µs
	Bytes float64 `json:"bytes"`  // read and written, files and connections
}

// Phase is one part of a run: idle, or with changes or restarts.
type Phase struct {
	Seconds  float64 `json:"seconds"`
	Events   int     `json:"events"` // changes or restarts
	Leader   Usage   `json:"leader"`
	Follower Usage   `json:"follower"` // mean of the followers
	Members  Usage   `json:"members"`  // all together; bytes are those of their connections
}

// Sample holds the phases of one cluster size.
type Sample struct {
	Members   int     `json:"members"`
	Customers int     `json:"customers"` // in the text
	Load      string  `json:"load"`      // load averages of the machine at the end
	Idle      Phase   `json:"idle"`      // members spread over leader and followers
	Changes   Phase   `json:"changes"`
	Restarts  Phase   `json:"restarts"`
	Aside     Phase   `json:"aside"` // idle, with all members at followers
	InForce50 float64 `json:"in_force_p50_ms"`
	InForce99 float64 `json:"in_force_p99_ms"`
	Heap      float64 `json:"heap_bytes"`       // of all members
	LeaderRSS float64 `json:"leader_rss_bytes"` // at the end of the changes
}

// perEvent returns what one event costs above the idle rate.
func (p Phase) perEvent(idle Phase, use func(Phase) float64) float64 {
	return (use(p) - use(idle)*p.Seconds/idle.Seconds) / float64(p.Events)
}

// rate returns a use per second.
func (p Phase) rate(use func(Phase) float64) float64 { return use(p) / p.Seconds }

func leaderCPU(p Phase) float64     { return p.Leader.CPU }
func leaderBytes(p Phase) float64   { return p.Leader.Bytes }
func followerCPU(p Phase) float64   { return p.Follower.CPU }
func followerBytes(p Phase) float64 { return p.Follower.Bytes }
func membersCPU(p Phase) float64    { return p.Members.CPU }
func membersBytes(p Phase) float64  { return p.Members.Bytes }

const clockTick = 10_000 // µs of a tick in /proc/PID/stat

// readUsage returns what a process has used since its start.
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

// readRSS returns a process's resident memory in bytes.
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

// ownCPU is the processor time that this process has used, in µs.
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
