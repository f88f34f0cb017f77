#!/usr/bin/env bash
# Starts a deployment at today's size on loopback, about 55 processes, runs
# `caperdrum bench` against it and stops it. Arguments go on to the command.
#   DEPLOYMENT  argyris (default) or blomsterhallen
#   BENCH_NET   first two bytes of the addresses, 127.1 by default; give
#               another one to run beside another bench
#   BENCH_TEXT  operators' text, examples/$DEPLOYMENT.ini by default
set -u
source "$(dirname "$0")/lib.sh"
deployment=${DEPLOYMENT:-argyris}
net=${BENCH_NET:-127.1}
text=${BENCH_TEXT:-$root/examples/$deployment.ini}
keeper=

# keep_entry runs the last entry and starts it again after it was killed.
keep_entry() {
	local child
	trap 'kill "$child" 2>/dev/null; wait "$child" 2>/dev/null; exit 0' TERM
	while true; do
		(cd "$work" && exec "$root/bin/caperdrumd" -settings "settings/$1.ini" >"$1.out" 2>>"$1.log") &
		child=$!
		echo "$child" >"$work/entry.pid"
		wait "$child" 2>/dev/null
		sleep 1
	done
}

stop_bench() {
	if [ -n "$keeper" ]; then
		kill "$keeper" 2>/dev/null
		wait "$keeper" 2>/dev/null
	fi
	stop_all
}
trap stop_bench EXIT

"$root/bin/caperdrum" bench -prepare "$work" -deployment "$deployment" -net "$net" -text "$text" || exit 1
entries=$(cat "$work/entries")
CAPERDRUM_ADMIN=$(cat "$work/admin")
export CAPERDRUM_ADMIN
start standins "$root/bin/caperdrum" standin -config "$work/standins.ini"
last=$(tail -n 1 "$work/processes")
while read -r name; do
	if [ "$name" = "$last" ]; then
		keep_entry "$name" &
		keeper=$!
	else
		start "$name" "$root/bin/caperdrumd" -settings "settings/$name.ini"
	fi
done <"$work/processes"

"$root/bin/caperdrum" init -save-key "$work/key" || exit 1
CAPERDRUM_KEY=$(cat "$work/key")
export CAPERDRUM_KEY
"$root/bin/caperdrum" apply "$work/text.ini" || exit 1
for entry in ${entries//,/ }; do
	wait_ready "$entry" || exit 1
done
"$root/bin/caperdrum" bench -deployment "$deployment" -entries "$entries" -standins "$net.3.1:9000" -text "$work/text.ini" \
	-entry-pid-file "$work/entry.pid" "$@"
