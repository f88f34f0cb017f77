package pathbench

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// tick is the unit of processor time in /proc/PID/stat (proc(5)).
const tick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command's name.
const (
	userField   = 11
	systemField = 12
)

// processorTimes returns the processor time used so far by each process that
// the flag names. Unlike rates it hardly depends on the machine's other load.
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
