#!/usr/bin/env bash
# Installs, builds and shows the Lesetagebuch deployment scaled to one machine: mixed calls, a
# release note, an overload and the death of a target. Exits 0 only if every request got its whole
# answer or a truthful refusal.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
Meta/build.sh | tail -n 1
build=${BUILD_DIR:-build}
node=$build/Services/ChiveRouter/chiverouter
standins=$build/Utilities/StandIns/chiverouter-standins
folder=$(mktemp -d)
processes=()
finish() {
    for process in "${processes[@]}"; do kill "$process" 2>/dev/null || true; done
    wait
    rm -rf "$folder"
}
trap finish EXIT

base=24500
log=127.0.0.1:$base
"$standins" log --listen=$log 2>"$folder/log.log" &
processes+=($!)

# start NAME SERVICE DATA_CENTRE SLOTS SERVICE_MS [CALLS]: a target and the node beside it.
number=0
callers=() targets=() executions=()
start() {
    number=$((number + 1))
    local first=$((base + 10 * number)) file=$folder/$1.toml
    cat >"$file" <<TOML
node_id = "$1"
data_centre = "$3"
region = "mittelland"
[endpoints]
callers = "127.0.0.1:$first"
target_calls = "127.0.0.1:$((first + 1))"
links = "127.0.0.1:$((first + 2))"
admin = "127.0.0.1:$((first + 3))"
[log]
endpoint = "$log"
[limits]
drain_timeout_ms = 5000
TOML
    "$node" node --settings="$file" 2>"$folder/$1.log" &
    processes+=($!)
    "$standins" target --service="$2" --listen=127.0.0.1:$((first + 4)) \
        --node=127.0.0.1:$((first + 1)) --slots="$4" --service-time-ms="$5" \
        --seed=$number --calls="${6:-}" --executions="$folder/$1.jsonl" 2>"$folder/$1-target.log" &
    processes+=($!)
    callers+=("127.0.0.1:$first")
    executions+=("$folder/$1.jsonl")
    [ "$2" != catalogue ] || targets+=("127.0.0.1:$((first + 4))")
}
start catalogue-1 catalogue aarberg 8 10 print-orders/paper/stock
start catalogue-2 catalogue biel 8 10 print-orders/paper/stock
start catalogue-3 catalogue bern 8 10 print-orders/paper/stock
start print-orders-1 print-orders aarberg 12 5
start print-orders-2 print-orders biel 12 5
start artwork-intake-1 artwork-intake biel 12 20
start artwork-intake-2 artwork-intake bern 12 20
start proof-status-1 proof-status aarberg 6 10 artwork-intake/plates/1
start proof-status-2 proof-status bern 6 10 artwork-intake/plates/1

examples=docs/examples/lesetagebuch
settings=$folder/catalogue-1.toml
join() { local IFS=,; echo "$*"; }
sleep 1
"$node" publish $examples/first-note.toml --settings="$settings"
sleep 7
"$build/Utilities/Demo/chiverouter-demo" --callers="$(join "${callers[@]}")" \
    --targets="$(join "${targets[@]}")" --executions="$(join "${executions[@]}")" &
driver=$!
sleep 4
sed '/^\[withdrawn\]/,$d' $examples/second-note.toml >"$folder/second-note.toml"
"$node" publish "$folder/second-note.toml" --settings="$settings"
verdict=0
wait $driver || verdict=$?
echo
"$node" status --settings="$settings"
[ $verdict = 0 ] && echo "Every request got its whole answer or a truthful refusal."
exit $verdict
