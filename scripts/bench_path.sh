#!/usr/bin/env bash
# Measures what entry and agent add to direct calls of a stand-in, as separate
# processes on loopback; the entry has two cores. PROFILE=file.pprof also
# profiles the entry for ten seconds, PROFILE_AGENT the agent of desk-1.
set -u
source "$(dirname "$0")/lib.sh"
trap stop_all EXIT

mkdir -p "$work"/data/control-{1,2,3}
for n in 1 2 3; do daemon "control-$n"; done
start engine "$root/bin/caperdrum" standin -kind engine -listen 127.0.0.21:9000 -delay 0 -token-delay 0
start desk-1 "$root/bin/caperdrum" standin -kind plain -listen 127.0.0.26:9000 -delay 0
daemon agent-engine-1
daemon agent-desk-1
export GOMAXPROCS=2
daemon entry-1
unset GOMAXPROCS
"$root/bin/caperdrum" init -save-key "$work/key" >/dev/null || exit 1
CAPERDRUM_KEY=$(cat "$work/key")
export CAPERDRUM_KEY
sed -e 's/^concurrency = .*//; s/^\[service:.*/&\nconcurrency = 128/' "$root/examples/demo/text.ini" >"$work/text.ini"
"$root/bin/caperdrum" apply "$work/text.ini" >/dev/null || exit 1
wait_ready 127.0.0.11:8080 || exit 1
sleep 2
profile() { # address file
	curl -s -o "$2" "http://$1/debug/pprof/profile?seconds=${PROFILE_SECONDS:-8}"
}
if [ -n "${PROFILE:-}" ]; then profile 127.0.0.11:7102 "$PROFILE" & fi
if [ -n "${PROFILE_AGENT:-}" ]; then profile 127.0.0.26:7102 "$PROFILE_AGENT" & fi
cd "$root" && go test ./fake/pathbench -count 1 -v -run TestPath -args -entry 127.0.0.11:8080 -plain 127.0.0.26:9000 -engine 127.0.0.21:9000 \
	-length "${LENGTH:-4s}"
