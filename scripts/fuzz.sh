#!/usr/bin/env bash
# Runs the rapid machines and the fuzz targets of one module for long, with a
# fresh seed that it prints. A failure of a machine names the seed to repeat it
# with: go test PACKAGE -rapid.seed=N.
# FUZZ_TIME is for each fuzz target, FUZZ_CHECKS for each machine.
set -euo pipefail
cd "$(dirname "$0")/../node"

time=${FUZZ_TIME:-60s}
checks=${FUZZ_CHECKS:-20000}
steps=${FUZZ_STEPS:-200}
workers=${FUZZ_WORKERS:-4}
seed=${SEED:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}

echo "seed=$seed checks=$checks steps=$steps time=$time"
for package in $(git grep -l 'rapid\.Check' -- '*_test.go' | xargs -n1 dirname | sort -u); do
	echo "package=$package kind=rapid"
	go test -v -timeout 0 "./$package" -run "$(grep -l 'rapid\.Check' "$package"/*_test.go | xargs grep -ho '^func Test[A-Za-z]*(t' | sed 's/^func //; s/(t$//' | paste -sd'|')" \
		-rapid.seed="$seed" -rapid.checks="$checks" -rapid.steps="$steps" | grep -v '\[rapid\] draw'
done
for file in $(git grep -l '^func Fuzz' -- '*_test.go'); do
	for target in $(grep -o '^func Fuzz[A-Za-z]*' "$file" | sed 's/^func //'); do
		echo "package=$(dirname "$file") kind=fuzz target=$target"
		go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "$time" -parallel "$workers" | tail -2
	done
done
