// Package pathbench measures what the path over an entry and an agent adds to
// direct calls of a stand-in. Its test runs only from scripts/bench_path.sh,
// which starts the processes.
package pathbench
