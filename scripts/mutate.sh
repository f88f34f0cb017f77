#!/usr/bin/env bash
# Breaks one safeguard at a time in a scratch copy and shows whether the tests
# notice, after how many runs of the rapid machine and how many seconds. Fails
# if a break goes unnoticed. Usage: mutate.sh [PATTERN of names]; LIST names another
# list, such as that of the soak, whose tests are named from the root; LIMIT bounds each run.
set -uo pipefail
cd "$(dirname "$0")/.."

pattern=${1:-.}
checks=${CHECKS:-20000}
seed=${SEED:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
missed=0
list=${LIST:-scripts/mutations.txt}

echo "seed=$seed"
while IFS='|' read -r name file expression test; do
	name=$(echo $name) file=$(echo $file)
	[[ $name == \#* || -z $name || ! $name =~ $pattern ]] && continue
	rm -rf "$scratch/tree"
	mkdir "$scratch/tree"
	git ls-files | tar c -T - | tar x -C "$scratch/tree"
	sed -i "$(echo "$expression" | sed 's/^ //; s/ $//')" "$scratch/tree/$file"
	if cmp -s "$file" "$scratch/tree/$file"; then
		echo "mutation=\"$name\" result=not-applied"
		missed=1
		continue
	fi
	flags=
	[[ $test == *TestCluster* ]] && flags="-rapid.seed=$seed -rapid.checks=$checks -rapid.steps=200 -rapid.nofailfile -rapid.shrinktime=1s"
	start=$(date +%s.%N)
	module=node
	[[ $test == *./platform/* ]] && module=.
	out=$(cd "$scratch/tree/$module" && go test -timeout ${LIMIT:-600s} $test $flags 2>&1)
	code=$?
	took=$(echo "$(date +%s.%N) $start" | awk '{printf "%.1f", $1 - $2}')
	if ((code == 0)) || grep -q 'build failed\|setup failed' <<<"$out"; then
		echo "mutation=\"$name\" result=MISSED seconds=$took"
		grep -A3 'build failed\|^#' <<<"$out"
		missed=1
		continue
	fi
	runs=$(grep -o 'after [0-9]* tests' <<<"$out" | head -1)
	what=$(grep -o '\(failed\|panic\) after [0-9]* tests: .*' <<<"$out" | head -1 | cut -d: -f2- | cut -c1-110)
	[ -z "$what" ] && what=$(grep -o '[a-z_]*\.go:[0-9]*: .*' <<<"$out" | grep -m1 -v ' keys: ' | cut -c1-110)
	echo "mutation=\"$name\" result=caught runs=\"${runs:--}\" seconds=$took said=\"${what# }\""
done <"$list"
exit $missed
