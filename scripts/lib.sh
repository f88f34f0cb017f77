# Starts and stops the demonstration's processes. Sourced by the other scripts.
# Every process is stopped by its own process id, never by name.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
work=$(mktemp -d)
declare -A pids
export CAPERDRUM_ADMIN=127.0.0.1:7101,127.0.0.2:7101,127.0.0.3:7101

start() { # name command...
	local name=$1
	shift
	(cd "$work" && exec "$@" >"$work/$name.out" 2>"$work/$name.log") &
	pids[$name]=$!
}

daemon() { # name
	start "$1" "$root/bin/caperdrumd" -settings "$root/examples/demo/$1.ini"
}

stop_all() {
	local name
	for name in "${!pids[@]}"; do
		kill "${pids[$name]}" 2>/dev/null
	done
	for name in "${!pids[@]}"; do
		wait "${pids[$name]}" 2>/dev/null
	done
	if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $work"; else rm -rf "$work"; fi
}

start_upstreams() {
	local spec
	for spec in engine:engine-1:21 engine:engine-2:22 encoder:encoder-1:23 retriever:retriever-1:24 \
		reranker:reranker-1:25 plain:desk-1:26 plain:desk-2:27; do
		IFS=: read -r kind name ip <<<"$spec"
		local options=
		if [ "$kind" = engine ]; then options=${STANDIN_ENGINE:-}; fi
		# shellcheck disable=SC2086 # several options
		start "upstream-$name" "$root/bin/caperdrum" standin -kind "$kind" -listen "127.0.0.$ip:9000" $options
		daemon "agent-$name"
	done
}

start_system() {
	mkdir -p "$work/data/control-1" "$work/data/control-2" "$work/data/control-3"
	daemon control-1
	daemon control-2
	daemon control-3
	start_upstreams
	daemon entry-1
	daemon entry-2
}

wait_ready() { # address
	local i
	for i in $(seq 1 200); do
		if curl -fsS -o /dev/null "http://$1/readyz" 2>/dev/null; then return 0; fi
		sleep 0.05
	done
	echo "not ready: $1" >&2
	return 1
}
