#!/usr/bin/env bash
# Starts a deployment from deployments/ on 127.0.0.1, sends requests through it and checks the evidence of the upstreams.
# Exits 0 only if every request was answered correctly and no limit was exceeded.
#
# Environment: EBONY_DEMO_DEPLOYMENT (pulot or tablero), EBONY_DEMO_SECONDS (duration of the load) and EBONY_DEMO_BASE
# (first port).
set -euo pipefail
cd "$(dirname "$0")/.."

# Ports on 127.0.0.1: the store uses base, the control APIs of the upstreams use base+1 and up, and host i (from 1) uses
# base+10*i to base+10*i+5. The targets use the ports in the settings file.
base="${EBONY_DEMO_BASE:-23000}"
seconds="${EBONY_DEMO_SECONDS:-5}"
deployment="${EBONY_DEMO_DEPLOYMENT:-pulot}"
settings="deployments/$deployment.json"
token=demo
ready_limit=20
stop_limit=15
hosts_per_zone=2
case "$deployment" in
pulot) regions=(luzon visayas mindanao) read_service=statusboard keyed_service=bookings ;;
tablero) regions=(andes costa litoral) read_service=clasificacion keyed_service=actas ;;
*)
	echo "unknown deployment $deployment: pulot or tablero" >&2
	exit 2
	;;
esac
zones=()
for region in "${regions[@]}"; do zones+=("$region-a" "$region-b"); done

logs="$(mktemp -d)"
host_pids=()    # entry and steer processes, stopped first
backend_pids=() # upstreams and store
load_pids=()
declare -A control entries
declare -A clients=(["${regions[0]}"]=203.0.113.1 ["${regions[1]}"]=203.0.113.2 ["${regions[2]}"]=203.0.113.7)

say() { printf '\n== %s\n' "$*"; }

fail() {
	printf 'demo failed: %s\n' "$*" >&2
	exit 1
}

# port_in_use PORT succeeds if a process listens on the port.
port_in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# stop_all PID... sends SIGTERM to processes and waits for them; those that don't stop within the limit are killed.
stop_all() {
	local pid deadline=$((SECONDS + stop_limit))
	for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "$@"; do
		while kill -0 "$pid" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
		if kill -KILL "$pid" 2>/dev/null; then
			echo "process $pid did not stop within $stop_limit s and was killed" >&2
			unclean=1
		fi
		wait "$pid" 2>/dev/null || true
	done
}

cleanup() {
	local code=$?
	unclean=0
	trap - EXIT
	trap '' INT TERM
	say "stopping ${#load_pids[@]} load generators, ${#host_pids[@]} entry and steer processes, then ${#backend_pids[@]} others"
	stop_all "${load_pids[@]}"
	# An entry process finishes its requests and keeps serving until the lookup responses that name it have expired; its
	# steer process waits for it.
	stop_all "${host_pids[@]}"
	stop_all "${backend_pids[@]}"
	if ((code == 0 && unclean)); then code=1; fi
	if ((code == 0)); then
		rm -rf "$logs"
		echo "demo passed in $SECONDS s: all requests answered correctly, no limit exceeded, everything stopped"
	else
		echo "demo FAILED with exit code $code after $SECONDS s; logs of all processes: $logs" >&2
	fi
	exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# launch NAME COMMAND... starts a process in its own process group, so that Ctrl-C interrupts only this script, and sets
# $launched to the process ID.
launch() {
	local name="$1"
	shift
	set -m
	"$@" >"$logs/$name.log" 2>&1 &
	launched=$!
	set +m
}

# services prints a line "NAME PORTS SLOTS CONNECTIONS" for each service in the settings file. PORTS is a range, because
# the ports of a service are sequential.
services() {
	awk '
		/^  "services": \{/ { inside = 1; next }
		/^  [}\]]/ { inside = 0 }
		!inside { next }
		/^    "/ { split($1, part, "\""); name = part[2]; order[++n] = name }
		/"address":/ { split($2, part, /[:"]/); last[name] = part[3]; if (!(name in first)) first[name] = part[3] }
		/"connections":/ { connections[name] = $2 + 0 }
		/"slots":/ { slots[name] = $2 + 0 }
		END { for (i = 1; i <= n; i++) print order[i], first[order[i]] "-" last[order[i]], slots[order[i]], connections[order[i]] }
	' "$settings"
}

# check_ports fails if a port that the demo needs is in use.
check_ports() {
	local port busy=() hosts=$((${#zones[@]} * hosts_per_zone))
	for port in $(grep -o '"127.0.0.1:[0-9]*"' "$settings" | tr -dc '0-9\n' | sed 's/^127001//'); do
		if port_in_use "$port"; then busy+=("$port"); fi
	done
	((${#busy[@]} == 0)) || fail "the targets of $settings need ports that are taken: ${busy[*]}"
	for ((port = base; port < base + 10 * (hosts + 1); port++)); do
		if port_in_use "$port"; then busy+=("$port"); fi
	done
	((${#busy[@]} == 0)) || fail "ports are taken: ${busy[*]}; choose others with EBONY_DEMO_BASE=<first port>"
}

# start_backends starts the store and the upstreams.
start_backends() {
	local service ports slots connections n=0
	launch store bin/teststore -address "127.0.0.1:$base"
	backend_pids+=("$launched")
	echo "store           127.0.0.1:$base"
	while read -r service ports slots connections; do
		n=$((n + 1))
		control[$service]="127.0.0.1:$((base + n))"
		launch "testup-$service" bin/testup -ports "$ports" -slots "$slots" -connections "$connections" \
			-service-ms 20 -control "${control[$service]}"
		backend_pids+=("$launched")
		echo "upstream        $service: targets 127.0.0.1:$ports, $slots slots each, control ${control[$service]}"
	done < <(services)
}

# start_host N ZONE starts the entry and steer processes of host N, with the steers of the next two hosts as peers.
start_host() {
	local n="$1" zone="$2" region="${2%-*}" hosts=$((${#zones[@]} * hosts_per_zone)) first common
	local name="$zone-$(((n - 1) % hosts_per_zone + 1))"
	first=$((base + 10 * n))
	common=(-host "$name" -region "$region" -zone "$zone" -store "127.0.0.1:$base" -token "$token"
		-peers "127.0.0.1:$((base + 10 * (n % hosts + 1) + 5)),127.0.0.1:$((base + 10 * ((n + 1) % hosts + 1) + 5))")
	launch "steer-$name" bin/steer "${common[@]}" \
		-link-address "127.0.0.1:$((first + 5))" -admin-address "127.0.0.1:$((first + 4))" -entry-address "127.0.0.1:$((first + 2))"
	host_pids+=("$launched")
	launch "entry-$name" bin/entry "${common[@]}" -steer-address "127.0.0.1:$((first + 5))" \
		-caller-address "127.0.0.1:$first" -relay-address "127.0.0.1:$((first + 1))" -link-address "127.0.0.1:$((first + 2))" \
		-admin-address "127.0.0.1:$((first + 3))"
	host_pids+=("$launched")
	entries[$region]="${entries[$region]:+${entries[$region]},}127.0.0.1:$first"
	printf 'host            %-12s callers 127.0.0.1:%d, relay, link and admin of entry %d-%d, admin and link of steer %d-%d\n' \
		"$name" "$first" $((first + 1)) $((first + 3)) $((first + 4)) $((first + 5))
}

start_hosts() {
	local zone i n=0
	for zone in "${zones[@]}"; do
		for ((i = 0; i < hosts_per_zone; i++)); do
			n=$((n + 1))
			start_host "$n" "$zone"
		done
	done
}

status() { bin/ebonyctl status -admin "127.0.0.1:$((base + 14))" -token "$token"; }

# await_ready waits until every host is ready with the accepted revision and every target and shift in the settings has
# an owner.
await_ready() {
	local hosts=$((${#zones[@]} * hosts_per_zone)) objects deadline=$((SECONDS + ready_limit)) output pid
	objects=$(($(grep -c '"address":' "$settings") + $(grep -c '"requests_per_second":' "$settings")))
	while ((SECONDS < deadline)); do
		for pid in "${host_pids[@]}" "${backend_pids[@]}"; do
			kill -0 "$pid" 2>/dev/null || fail "process $pid ended early; see $logs"
		done
		output="$(status 2>&1 || true)"
		if awk -v hosts="$hosts" -v objects="$objects" '
			$3 == "ready" && / entry revision 1, steer revision 1, / { ready++; for (i = 1; i <= NF; i++) if ($i == "owned,") owned += $(i - 1) }
			END { exit !(ready == hosts && owned == objects) }' <<<"$output"; then
			echo "$hosts hosts are ready; the $objects targets and shifts have owners"
			return
		fi
		sleep 0.2
	done
	printf '%s\n' "$output" >&2
	fail "not every host was ready within $ready_limit s"
}

await_store() {
	local deadline=$((SECONDS + ready_limit))
	until port_in_use "$base"; do
		((SECONDS < deadline)) || fail "the store does not listen on 127.0.0.1:$base"
		sleep 0.1
	done
}

# send NAME REGION ARGUMENTS... starts a load generator whose callers send their lookups to the hosts of a region, or to
# those of all regions if none of them responds. The settings have no client blocks, so a lookup chooses hosts by a hash
# of the client address.
send() {
	local name="$1" region="$2"
	shift 2
	launch "load-$name" bin/loadgen run -entries "${entries[$region]},$(IFS=, && echo "${entries[*]}")" -duration "${seconds}s" -rounds 1 -deadline 2s -client "${clients[$region]}" "$@"
	load_pids+=("$launched")
	loads+=("$name")
}

# field NAME FILE prints the value of a numeric field in the JSON report in a file.
field() { sed -n 's/.*"'"$1"'":\([0-9]*\).*/\1/p' "$2"; }

# run_load sends reads and keyed requests from every region concurrently; each request must succeed.
run_load() {
	local region i report sent succeeded failed=0
	loads=()
	bookings=0
	for region in "${regions[@]}"; do
		send "reads-$region" "$region" -service "$read_service" -concurrency 6
		send "bookings-$region" "$region" -service "$keyed_service" -method POST -keyed -concurrency 3 -not-run "$logs/not-run-$region"
	done
	for i in "${!loads[@]}"; do
		wait "${load_pids[$i]}" || failed=1
		report="$logs/load-${loads[$i]}.log"
		sent="$(field requests "$report")"
		succeeded="$(field successes "$report")"
		printf '%-18s %6s requests, %6s answered correctly, p50 %s us, p99 %s us\n' "${loads[$i]}" "${sent:-?}" "${succeeded:-?}" \
			"$(field p50_us "$report")" "$(field p99_us "$report")"
		if [[ "${loads[$i]}" == bookings-* ]]; then bookings=$((bookings + ${succeeded:-0})); fi
		if [[ -z "$sent" || "$sent" == 0 || "$sent" != "$succeeded" ]]; then
			grep -v '^{' "$report" >&2 || true
			failed=1
		fi
	done
	load_pids=()
	((failed == 0)) || fail "not all requests were answered correctly"
}

# show_evidence prints the evidence of the upstreams and fails if a limit was exceeded or a key did not run exactly once.
show_evidence() {
	local service list="" evidence
	for service in "${!control[@]}"; do list+="${list:+,}${control[$service]}"; done
	cat "$logs"/not-run-* >"$logs/not-run"
	evidence="$(bin/loadgen evidence -controls "$list" -not-run "$logs/not-run")" || {
		printf '%s\n' "$evidence" >&2
		fail "the upstreams saw a limit exceeded or a key run twice"
	}
	sed 's/,"targets":.*//; s/^{//; s/"//g; s/,/, /g' <<<"$evidence"
	grep -q "\"keys\":$bookings," <<<"$evidence" || fail "$bookings bookings were answered, but the upstreams ran another number of keys"
	echo "no target was over its slots or connections, and each of the $bookings bookings ran exactly once"
}

main() {
	say "building"
	make build
	check_ports
	say "starting (settings $settings, base port $base)"
	start_backends
	await_store
	say "ebonyctl apply -store 127.0.0.1:$base $settings"
	bin/ebonyctl apply -store "127.0.0.1:$base" -author demo -message "first settings" "$settings"
	say "starting hosts"
	start_hosts
	await_ready
	say "sending for $seconds s: reads to $read_service and keyed requests to $keyed_service from every region, through the look-up"
	run_load
	say "loadgen evidence: what the upstreams saw"
	show_evidence
	say "ebonyctl status -admin 127.0.0.1:$((base + 14))"
	status
	say "ebonyctl explain -admin 127.0.0.1:$((base + 13)) $read_service ${clients[${regions[0]}]}"
	bin/ebonyctl explain -admin "127.0.0.1:$((base + 13))" -token "$token" "$read_service" "${clients[${regions[0]}]}"
}

main
