#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh. Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
PROJECT=$(cd ../.. && pwd) || exit 2
export PROJECT
[ -x "$PROJECT/target/caperdrum" ] && [ -x "$PROJECT/target/review-cases" ] || { echo "build first" >&2; exit 2; }
exec "$PROJECT/target/review-cases" late-beat "$PWD"
