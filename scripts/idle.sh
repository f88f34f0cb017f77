#!/usr/bin/env bash
# Measures idle processes of the demonstration: resident memory, and processor
# time over SECONDS_IDLE (60). The engines take orders and are kept warm, so
# that the cost of planner and order service counts.
set -u
source "$(dirname "$0")/lib.sh"
trap stop_all EXIT

ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

STANDIN_ENGINE="-orders"
start_system
"$root/bin/caperdrum" init -save-key "$work/key" >/dev/null || exit 1
CAPERDRUM_KEY=$(cat "$work/key")
export CAPERDRUM_KEY
sed '/^\[service:llm\]/a models = desk-chat@1' "$root/examples/demo/text.ini" >"$work/text.ini"
"$root/bin/caperdrum" apply "$work/text.ini" >/dev/null || exit 1
wait_ready 127.0.0.11:8080 || exit 1
sleep 8
for ip in 21 22; do curl -fsS "http://127.0.0.$ip:9000/v1/engine" && echo; done
declare -A before
names="control-1 control-2 control-3 agent-engine-1 agent-engine-2 agent-desk-1 entry-1"
for n in $names; do before[$n]=$(ticks "${pids[$n]}"); done
sleep "${SECONDS_IDLE:-60}"
for n in $names; do
	used=$(($(ticks "${pids[$n]}") - before[$n]))
	rss=$(awk '/VmRSS/ { print $2 }' "/proc/${pids[$n]}/status")
	echo "$n resident_kb=$rss cpu_ms=$((used * 10)) of ${SECONDS_IDLE:-60} s"
done
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
