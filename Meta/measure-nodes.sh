#!/usr/bin/env bash
# Starts $1 idle nodes and a log on loopback and prints what one node costs on average: resident
# memory, processor time, bytes sent on links, open links. For docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
count=$1
settle=${2:-20}
length=${3:-20}
base=27000
scratch=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; sleep 3; for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done; wait 2>/dev/null; rm -rf "$scratch"' EXIT

"$build/Utilities/StandIns/chiverouter-standins" log --listen=127.0.0.1:$base 2>"$scratch/log" &
pids+=($!)
nodes=()
for ((i = 1; i <= count; ++i)); do
    port=$((base + 10 * i))
    cat >"$scratch/$i.toml" <<TOML
node_id = "node-$i"
data_centre = "centre-$((i % 3))"
region = "central"

[endpoints]
callers = "127.0.0.1:$((port + 1))"
target_calls = "127.0.0.1:$((port + 2))"
links = "127.0.0.1:$((port + 3))"
admin = "127.0.0.1:$((port + 4))"

[log]
endpoint = "127.0.0.1:$base"
TOML
    "$build/Services/ChiveRouter/chiverouter" node --settings="$scratch/$i.toml" 2>"$scratch/$i.log" &
    pids+=($!)
    nodes+=($!)
done
sleep "$settle"

ticks() { awk '{sum += $14 + $15} END {print sum}' "${nodes[@]/%//stat}"; }
sent() { # one line for each node
    for ((i = 1; i <= count; ++i)); do
        curl -s "http://127.0.0.1:$((base + 10 * i + 4))/metrics" |
            awk '/^chiverouter_link_bytes_total.*direction="sent"/ {sum += $2} END {print sum + 0}'
    done
}
cd /proc
ticks0=$(ticks)
sent >"$scratch/before"
start=$(date +%s%N)
sleep "$length"
ticks1=$(ticks)
elapsed=$(($(date +%s%N) - start))
sent >"$scratch/after"
bytes=$(paste "$scratch/before" "$scratch/after" |
    awk '{d = $2 - $1; sum += d; if (d > most) most = d} END {print sum, most}')
memory=$(awk '/^VmRSS/ {sum += $2} END {print sum}' "${nodes[@]/%//status}")
alive=$(curl -s "http://127.0.0.1:$((base + 14))/metrics" | awk '/^chive_members.*alive/ {print $2}')
links=$(curl -s "http://127.0.0.1:$((base + 14))/status" | awk '/"open":/ {gsub(/[^0-9]/, ""); print}')
awk -v n="$count" -v t="$((ticks1 - ticks0))" -v hz="$(getconf CLK_TCK)" -v ns="$elapsed" \
    -v b="${bytes% *}" -v most="${bytes#* }" -v m="$memory" -v a="$alive" -v l="$links" 'BEGIN {
    s = ns / 1e9
    printf "nodes %d  known %d  links %d  memory %.1f MB  cpu %.2f %%  sent %.2f KB/s, at most %.2f\n",
        n, a, l, m / n / 1000, 100 * t / hz / s / n, b / s / n / 1000, most / s / 1000 }'
