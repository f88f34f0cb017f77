#!/usr/bin/env bash
# Measures an idle agent and an idle entry among the demonstration's processes:
# resident memory, and processor time over SECONDS (60).
set -u
source "$(dirname "$0")/lib.sh"
trap stop_all EXIT

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

start_system
"$root/bin/caperdrum" init -save-key "$work/key" >/dev/null || exit 1
CAPERDRUM_KEY=$(cat "$work/key")
export CAPERDRUM_KEY
"$root/bin/caperdrum" apply "$root/examples/demo/text.ini" >/dev/null || exit 1
wait_ready 127.0.0.11:8080 || exit 1
sleep 5
declare -A before
names="agent-engine-1 agent-desk-1 entry-1"
for n in $names; do before[$n]=$(ticks "${pids[$n]}"); done
sleep "${SECONDS_IDLE:-60}"
for n in $names; do
	used=$(($(ticks "${pids[$n]}") - before[$n]))
	rss=$(awk '/VmRSS/ { print $2 }' "/proc/${pids[$n]}/status")
	echo "$n resident_kb=$rss cpu_ms=$((used * 10)) of ${SECONDS_IDLE:-60} s"
done
