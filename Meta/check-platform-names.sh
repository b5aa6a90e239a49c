#!/usr/bin/env bash
# The names of the users' platform may stand in platform/ and deploy/ only.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Chiverouter-|/chiverouter/(instances|log-|ready)|virtualHosts|routePaths|trafficSplit|targetLatencyS|maxAttempts|heartbeatAddr|coldLeftS|keyed\.(op|servers|status|nodes)|appAddr|log-(append|read|newest|join|trim)|Store-Era'
found=$(git ls-files -- Libraries Services Utilities CMakeLists.txt | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
    echo "names of the platform outside platform/ and deploy/:"
    echo "$found"
    exit 1
fi
echo "platform names: only in platform/ and deploy/"
