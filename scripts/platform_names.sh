#!/usr/bin/env bash
# Fails when a name of the users' platform stands in code outside the folders
# that translate it: headers, paths of calls and fields of settings.
set -euo pipefail
cd "$(dirname "$0")/.."

HEADERS='X-(Attempt-Id|Deadline-Ms|Prompt-Prefix|Response-Seal|Tenant|Expect-(Instance|Version)|Server-Load|Not-Run|Instance|Token-Counts|Request-Urgency|Weight-Versions|Pin-Ms|Hold|Length-Hint|Kv-Backup|Pieces|Piece-Key|Inputs|Model)|Kv-(From|Fetch)'
CALLS='/stage-(run|free)|/config/(put|get)|/heartbeat|/deregister|/kv-(events|list|handle|pin|move)|/hold-(take|drop)'
FIELDS='CAPERDRUM_CONFIG|readinessAddr|machineClass|portRange|lossCounts|apiKeys|pathPrefix|gapGoalMs|headroomMb|kvCapacity|remainingMs|heartbeatAddr'

found=$(git ls-files --cached --others --exclude-standard '*.go' '*.sh' '*.ini' ':!platform/*' ':!deploy/*' ':!scripts/platform_names.sh' |
	xargs grep -nE "\"?($HEADERS)\b|($CALLS)|\b($FIELDS)\b" || true)
if [ -n "$found" ]; then
	echo "names of the users' platform outside platform/ and deploy/:"
	echo "$found"
	exit 1
fi
