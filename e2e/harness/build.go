// Package harness starts caperdrum as separate processes on loopback addresses, injects process and network
// faults, and checks callers' answers against an oracle. It is used by tests only.
package harness

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"

	"go.uber.org/goleak"
)

// Long selects the long versions of the tests, with binaries built with the race detector.
var Long = flag.Bool("long", false, "run the long versions, with binaries built with the race detector")

// bin is the directory of the built binaries.
var bin string

// Daemon returns the path of the caperdrumd binary.
func Daemon() string { return filepath.Join(bin, "caperdrumd") }

// Command returns the path of the caperdrum binary.
func Command() string { return filepath.Join(bin, "caperdrum") }

// Main builds both binaries, runs the tests and fails if goroutines leak.
func Main(m *testing.M) {
	flag.Parse()
	status, err := run(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(status)
}

func run(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "caperdrum-e2e-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	bin = dir
	if err := build(dir); err != nil {
		return 0, err
	}
	status := m.Run()
	if status == 0 {
		if err := goleak.Find(); err != nil {
			return 0, err
		}
	}
	return status, nil
}

func build(dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if *Long {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "./node/cmd/caperdrumd", "./ctl/cmd/caperdrum")...)
	cmd.Dir = Root()
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

// Root returns the root directory of the repository.
func Root() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}
