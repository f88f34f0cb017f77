#!/usr/bin/env bash
# Starts three control processes, two entries, and an agent beside each of
# seven stand-in upstreams, all on loopback addresses, and lets
# `caperdrum demo` check what callers and operators are promised.
set -u
source "$(dirname "$0")/lib.sh"
trap stop_all EXIT

start_system
"$root/bin/caperdrum" init -save-key "$work/key" || exit 1
CAPERDRUM_KEY=$(cat "$work/key")
export CAPERDRUM_KEY
"$root/bin/caperdrum" apply "$root/examples/demo/text.ini" || exit 1
wait_ready 127.0.0.11:8080 || exit 1
wait_ready 127.0.0.12:8080 || exit 1

# The braces keep the shell's own messages about the processes that the demo
# kills off the screen; what the command itself says goes there.
{
	"$root/bin/caperdrum" demo -entries 127.0.0.11:8080,127.0.0.12:8080 -desks 127.0.0.26:9000,127.0.0.27:9000 \
		-text "$root/examples/demo/text.ini" -kill "${pids[agent-engine-1]}" -kill-control "${pids[control-1]}" 2>&3
	status=$?
	for name in agent-engine-1 control-1; do
		kill -0 "${pids[$name]}" || wait "${pids[$name]}"
	done
} 3>&2 2>/dev/null
exit "$status"
