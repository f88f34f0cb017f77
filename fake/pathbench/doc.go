// Package pathbench measures the overhead of calls through an entry and an agent compared with direct calls
// of a stand-in. Its test runs only from scripts/bench_path.sh, which starts the processes.
package pathbench
