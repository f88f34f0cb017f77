#!/usr/bin/env bash
# Scores the deployments of the regression set, each with its floor, and fails where one
# is below it or breaks a rule. A floor that is missed says little alone: score the commit
# before on the same machine too, runs of one code differ by 0.03.
# Usage: regression.sh BENCH SITES [--jobs N ...]; BENCH is the users' bench, SITES the folder
# with their deployments, what follows goes to the bench. Both stay outside the repository.
set -uo pipefail
cd "$(dirname "$0")/.."

bench=${1:?the users' bench}
sites=${2:?the folder with their deployments}
shift 2
failed=0
out=$(mktemp)
trap 'rm -f "$out"' EXIT

while read -r site floor; do
	[[ -z $site || $site == \#* ]] && continue
	"$bench" score "$sites/$site" "$@" --why "regression set" >"$out" 2>&1
	score=$(sed -n 's/^score on the standard days of [^:]*: \([0-9.]*\).*/\1/p' "$out")
	gate=$(grep -o 'GATE [a-z]*' "$out" | tail -1)
	verdict=held
	if [[ -z $score || $gate != "GATE passed" ]] || awk "BEGIN { exit !($score < $floor) }"; then
		verdict=MISSED
		failed=1
		tail -5 "$out"
	fi
	echo "site=$site score=${score:-none} floor=$floor gate=\"$gate\" result=$verdict"
done <scripts/regression.txt
exit $failed
