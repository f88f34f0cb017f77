package pathbench

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// tick is the unit of CPU time in /proc/PID/stat (proc(5)).
const tick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted after the command name.
const (
	userField   = 11
	systemField = 12
)

// processorTimes returns the CPU time used so far by each process in the flag -pids. Unlike throughput, it
// hardly depends on other load on the machine.
func processorTimes(t *testing.T) map[string]time.Duration {
	t.Helper()
	out := map[string]time.Duration{}
	for _, part := range strings.FieldsFunc(*pids, func(r rune) bool { return r == ',' }) {
		name, pid, _ := strings.Cut(part, "=")
		raw, err := os.ReadFile("/proc/" + pid + "/stat")
		if err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(raw), ") ")
		fields := strings.Fields(rest)
		for _, i := range []int{userField, systemField} {
			n, err := strconv.Atoi(fields[i])
			if err != nil {
				t.Fatal(err)
			}
			out[name] += time.Duration(n) * tick
		}
	}
	return out
}
