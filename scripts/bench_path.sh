#!/usr/bin/env bash
# Measures what entry and agent add to direct calls of a stand-in, as separate
# processes on loopback; the entry has two cores.
#   BENCH_NET      first three bytes of the addresses, 127.5.0 by default, so
#                  that it runs beside the demonstration and other benches
#   BIN            folder of the programs, to compare two builds
#   TLS=1          encrypts between all processes, callers' connections too
#   TIMELINE=N     events that a process keeps
#   RATE=N         calls a second of the latency measurement; half of the full
#                  load by default
#   ONLY=REGEXP    subtests, for example small_call or stream
#   PROFILE=FILE, PROFILE_AGENT=FILE, PROFILE_ENGINE=FILE
#                  processor profiles of the entry, the agent of desk-1 and the
#                  agent of engine-1 over PROFILE_SECONDS (8)
set -u
source "$(dirname "$0")/lib.sh"
trap stop_all EXIT
net=${BENCH_NET:-127.5.0}
bin=${BIN:-$root/bin}
CAPERDRUM_ADMIN=$net.1:7101,$net.2:7101,$net.3:7101
export CAPERDRUM_ADMIN

mkdir -p "$work"/data/control-{1,2,3} "$work/settings"
for file in "$root"/examples/demo/*.ini; do
	name=$(basename "$file")
	sed "s/127\.0\.0\./$net./g" "$file" >"$work/settings/$name"
	[ "$name" = text.ini ] && continue
	if [ -n "${TIMELINE:-}" ]; then sed -i "s/^\[node\]/&\ntimeline_events = $TIMELINE/" "$work/settings/$name"; fi
	if [ -n "${TLS:-}" ]; then
		printf '\n[tls]\nca = %s\ncertificate = %s\nkey = %s\n' "$work/tls/ca.pem" "$work/tls/cert.pem" "$work/tls/key.pem" >>"$work/settings/$name"
	fi
done
if [ -n "${TLS:-}" ]; then
	"$root/scripts/certificates.sh" "$work/tls" "$net".{1,2,3,11,21,26} || exit 1
	export CAPERDRUM_TLS_CA=$work/tls/ca.pem
fi
sed -i -e 's/^concurrency = .*//; s/^\[service:.*/&\nconcurrency = 128/' "$work/settings/text.ini"
bench_daemon() { start "$1" "$bin/caperdrumd" -settings "$work/settings/$1.ini"; }

for n in 1 2 3; do bench_daemon "control-$n"; done
start engine "$bin/caperdrum" standin -kind engine -listen "$net.21:9000" -delay 0 -token-delay 0
start desk-1 "$bin/caperdrum" standin -kind plain -listen "$net.26:9000" -delay 0
bench_daemon agent-engine-1
bench_daemon agent-desk-1
export GOMAXPROCS=2
bench_daemon entry-1
unset GOMAXPROCS
"$bin/caperdrum" init -save-key "$work/key" >/dev/null || exit 1
CAPERDRUM_KEY=$(cat "$work/key")
export CAPERDRUM_KEY
"$bin/caperdrum" apply "$work/settings/text.ini" >/dev/null || exit 1
if [ -n "${TLS:-}" ]; then
	for _ in $(seq 1 200); do
		curl -fsS --cacert "$work/tls/ca.pem" -o /dev/null "https://$net.11:8080/readyz" 2>/dev/null && break
		sleep 0.05
	done
else
	wait_ready "$net.11:8080" || exit 1
fi
sleep 2
profile() { # address file
	curl -s -o "$2" "http://$1/debug/pprof/profile?seconds=${PROFILE_SECONDS:-8}"
}
if [ -n "${PROFILE:-}" ]; then profile "$net.11:7102" "$PROFILE" & fi
if [ -n "${PROFILE_AGENT:-}" ]; then profile "$net.26:7102" "$PROFILE_AGENT" & fi
if [ -n "${PROFILE_ENGINE:-}" ]; then profile "$net.21:7102" "$PROFILE_ENGINE" & fi
echo "load average: $(cut -d' ' -f1-3 /proc/loadavg)"
cd "$root" && go test ./fake/pathbench -count 1 -v -run "TestPath/${ONLY:-.}" -args -entry "$net.11:8080" -plain "$net.26:9000" -engine "$net.21:9000" \
	-length "${LENGTH:-4s}" -rate "${RATE:-0}" -pids "entry=${pids[entry-1]},agent-desk=${pids[agent-desk-1]},agent-engine=${pids[agent-engine-1]}" \
	-ca "${CAPERDRUM_TLS_CA:-}"
