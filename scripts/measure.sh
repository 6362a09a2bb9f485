#!/usr/bin/env bash
# Measures one host on 127.0.0.1 with loadgen against a baseline that sends to the targets in turn without the host: added
# latency at half load, and goodput at the capacity and at 2 and 10 times the capacity. Each ratio compares values of the
# same run. Prints the tables; see docs/MEASUREMENTS.md.
#
# Environment: EBONY_MEASURE_BASE (first port) and EBONY_MEASURE_DURATION (duration of each mode per round).
set -euo pipefail
cd "$(dirname "$0")/.."

base="${EBONY_MEASURE_BASE:-24000}"
duration="${EBONY_MEASURE_DURATION:-8s}"
slots=9
targets=4
service_ms=10
token=measure
logs="$(mktemp -d)"
pids=()

cleanup() {
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$logs"
}
trap cleanup EXIT

# launch NAME COMMAND... starts a process in the background; it is stopped when the script exits.
launch() {
	local name="$1"
	shift
	"$@" >"$logs/$name.log" 2>&1 &
	pids+=("$!")
}

make -s build
store="127.0.0.1:$base" entry="127.0.0.1:$((base + 1))" control="127.0.0.1:$((base + 9))"
first=$((base + 100)) last=$((base + 100 + targets - 1))
launch store bin/teststore -address "$store"
launch up bin/testup -control "$control" -ports "$first-$last" -slots "$slots" -service-ms "$service_ms"

addresses=() target_entries=()
for ((i = 0; i < targets; i++)); do
	address="127.0.0.1:$((first + i))"
	addresses+=("$address")
	target_entries+=("\"t$i\":{\"address\":\"$address\",\"connections\":360,\"slots\":$slots,\"zone\":\"north-a\"}")
done
printf '{"deployment":"measure","policy":{"queue_max":512},"regions":{"north":{"zones":{"north-a":{}}}},"services":{"board":{"targets":{%s}}}}\n' \
	"$(IFS=,; echo "${target_entries[*]}")" >"$logs/settings.json"
sleep 1
bin/ebonyctl apply -store "$store" -author measure -message measure "$logs/settings.json"
launch steer bin/steer -host h1 -region north -zone north-a -link-address "127.0.0.1:$((base + 2))" \
	-admin-address "127.0.0.1:$((base + 3))" -entry-address "127.0.0.1:$((base + 4))" -store "$store" -token "$token"
launch entry bin/entry -host h1 -region north -zone north-a -caller-address "$entry" -relay-address "127.0.0.1:$((base + 5))" \
	-link-address "127.0.0.1:$((base + 4))" -admin-address "127.0.0.1:$((base + 6))" -steer-address "127.0.0.1:$((base + 2))" \
	-store "$store" -token "$token"
for ((i = 0; i < 100; i++)); do
	bin/ebonyctl status -admin "127.0.0.1:$((base + 3))" -token "$token" 2>/dev/null | grep -q "$targets owned" && break
	sleep 0.1
done

all="$(IFS=,; echo "${addresses[*]}")"
capacity=$((targets * slots * 1000 / service_ms))
# run ARGUMENTS... runs loadgen; -modes selects requests through the host (system) or directly to the targets (roundrobin).
run() {
	bin/loadgen run -service board -targets "$all" -entries "$entry" -duration "$duration" -json=false "$@"
}
echo "== machine: $(nproc) cores, load $(cut -d' ' -f1 /proc/loadavg); $targets targets of $slots slots, $service_ms ms, capacity $capacity/s"
echo "== half load, open loop at $((capacity / 2))/s"
run -modes roundrobin,system -rate $((capacity / 2)) -concurrency 200 -rounds 4 -deadline 2s
echo "== half load, closed loop with $((targets * slots / 2)) callers"
run -modes roundrobin,system -concurrency $((targets * slots / 2)) -rounds 4 -deadline 2s
echo "== capacity: closed loop with as many callers as slots"
run -modes roundrobin,system -concurrency $((targets * slots)) -rounds 4 -deadline 2s
curl -s -X POST "http://$control/reset" >/dev/null
for factor in 2 10; do
	echo "== $factor times the capacity, open loop at $((capacity * factor))/s, deadline 300 ms"
	run -modes system -rate $((capacity * factor)) -concurrency 4000 -deadline 300ms -max-errors 10000000
done
echo "== evidence"
bin/loadgen evidence -controls "$control" || true
