#!/usr/bin/env bash
# Starts a deployment of deployments/ on 127.0.0.1 (EBONY_DEMO_DEPLOYMENT: pulot or tablero), sends requests through it and checks the evidence.
# Exits 0 only if every request was answered correctly and no limit was exceeded.
set -euo pipefail
cd "$(dirname "$0")/.."

# All addresses are on 127.0.0.1: the store uses base, the control APIs of the upstreams base+1 and up, and host i
# (from 1) base+10*i to base+10*i+5. The targets use the ports of the settings file.
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
front_pids=() # entries and steers, stopped first
back_pids=()  # upstreams and store
load_pids=()
declare -A control entries
declare -A clients=(["${regions[0]}"]=203.0.113.1 ["${regions[1]}"]=203.0.113.2 ["${regions[2]}"]=203.0.113.7)

say() { printf '\n== %s\n' "$*"; }

fail() {
	printf 'demo failed: %s\n' "$*" >&2
	exit 1
}

taken() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# stop_all sends SIGTERM to the given processes and waits; those that outlast the limit are killed.
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
	say "stopping ${#load_pids[@]} load generators, ${#front_pids[@]} entry and steer processes, then ${#back_pids[@]} others"
	stop_all "${load_pids[@]}"
	# An entry process finishes its requests and serves until look-up answers have expired; its steer waits for it.
	stop_all "${front_pids[@]}"
	stop_all "${back_pids[@]}"
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

# launch NAME COMMAND... starts a process in its own process group, so that Ctrl-C reaches only this script; its id is
# in $launched.
launch() {
	local name="$1"
	shift
	set -m
	"$@" >"$logs/$name.log" 2>&1 &
	launched=$!
	set +m
}

# services lists the services of the settings file as "name ports slots connections"; the ports are sequential.
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

check_ports() {
	local port busy=() hosts=$((${#zones[@]} * hosts_per_zone))
	for port in $(grep -o '"127.0.0.1:[0-9]*"' "$settings" | tr -dc '0-9\n' | sed 's/^127001//'); do
		if taken "$port"; then busy+=("$port"); fi
	done
	((${#busy[@]} == 0)) || fail "the targets of $settings need ports that are taken: ${busy[*]}"
	for ((port = base; port < base + 10 * (hosts + 1); port++)); do
		if taken "$port"; then busy+=("$port"); fi
	done
	((${#busy[@]} == 0)) || fail "ports are taken: ${busy[*]}; choose others with EBONY_DEMO_BASE=<first port>"
}

start_back() {
	local service ports slots connections n=0
	launch store bin/teststore -address "127.0.0.1:$base"
	back_pids+=("$launched")
	echo "store           127.0.0.1:$base"
	while read -r service ports slots connections; do
		n=$((n + 1))
		control[$service]="127.0.0.1:$((base + n))"
		launch "testup-$service" bin/testup -ports "$ports" -slots "$slots" -connections "$connections" \
			-service-ms 20 -control "${control[$service]}"
		back_pids+=("$launched")
		echo "upstream        $service: targets 127.0.0.1:$ports, $slots slots each, control ${control[$service]}"
	done < <(services)
}

# start_host N ZONE starts host N; the steers of the next two hosts are its peers.
start_host() {
	local n="$1" zone="$2" region="${2%-*}" hosts=$((${#zones[@]} * hosts_per_zone)) at common
	local name="$zone-$(((n - 1) % hosts_per_zone + 1))"
	at=$((base + 10 * n))
	common=(-host "$name" -region "$region" -zone "$zone" -store "127.0.0.1:$base" -token "$token"
		-peers "127.0.0.1:$((base + 10 * (n % hosts + 1) + 5)),127.0.0.1:$((base + 10 * ((n + 1) % hosts + 1) + 5))")
	launch "steer-$name" bin/steer "${common[@]}" \
		-link-address "127.0.0.1:$((at + 5))" -admin-address "127.0.0.1:$((at + 4))" -entry-address "127.0.0.1:$((at + 2))"
	front_pids+=("$launched")
	launch "entry-$name" bin/entry "${common[@]}" -steer-address "127.0.0.1:$((at + 5))" \
		-caller-address "127.0.0.1:$at" -relay-address "127.0.0.1:$((at + 1))" -link-address "127.0.0.1:$((at + 2))" \
		-admin-address "127.0.0.1:$((at + 3))"
	front_pids+=("$launched")
	entries[$region]="${entries[$region]:+${entries[$region]},}127.0.0.1:$at"
	printf 'host            %-12s callers 127.0.0.1:%d, relay, link and admin of entry %d-%d, admin and link of steer %d-%d\n' \
		"$name" "$at" $((at + 1)) $((at + 3)) $((at + 4)) $((at + 5))
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

# await_ready waits until every host is ready with the accepted revision and the objects of the settings have owners.
await_ready() {
	local hosts=$((${#zones[@]} * hosts_per_zone)) objects deadline=$((SECONDS + ready_limit)) text pid
	objects=$(($(grep -c '"address":' "$settings") + $(grep -c '"requests_per_second":' "$settings")))
	while ((SECONDS < deadline)); do
		for pid in "${front_pids[@]}" "${back_pids[@]}"; do
			kill -0 "$pid" 2>/dev/null || fail "process $pid ended early; see $logs"
		done
		text="$(status 2>&1 || true)"
		if awk -v hosts="$hosts" -v objects="$objects" '
			$3 == "ready" && / entry revision 1, steer revision 1, / { ready++; for (i = 1; i <= NF; i++) if ($i == "owned,") owned += $(i - 1) }
			END { exit !(ready == hosts && owned == objects) }' <<<"$text"; then
			echo "$hosts hosts are ready; the $objects targets and shifts have owners"
			return
		fi
		sleep 0.2
	done
	printf '%s\n' "$text" >&2
	fail "not every host was ready within $ready_limit s"
}

await_store() {
	local deadline=$((SECONDS + ready_limit))
	until taken "$base"; do
		((SECONDS < deadline)) || fail "the store does not listen on 127.0.0.1:$base"
		sleep 0.1
	done
}

# send NAME REGION ARGUMENTS... starts a load generator whose callers ask the hosts of a region which hosts to use, and
# those of all regions if none of them answers. The settings have no client blocks, so a look-up picks hosts by a hash of
# the client address.
send() {
	local name="$1" region="$2"
	shift 2
	launch "load-$name" bin/loadgen run -entries "${entries[$region]},$(IFS=, && echo "${entries[*]}")" -duration "${seconds}s" -rounds 1 -deadline 2s -client "${clients[$region]}" "$@"
	load_pids+=("$launched")
	loads+=("$name")
}

# field NAME FILE prints a number of the JSON report in a file.
field() { sed -n 's/.*"'"$1"'":\([0-9]*\).*/\1/p' "$2"; }

# run_load sends reads and keyed bookings from every region at once; each request must succeed.
run_load() {
	local region i text sent succeeded bad=0
	loads=()
	bookings=0
	for region in "${regions[@]}"; do
		send "reads-$region" "$region" -service "$read_service" -concurrency 6
		send "bookings-$region" "$region" -service "$keyed_service" -method POST -keyed -concurrency 3 -not-run "$logs/not-run-$region"
	done
	for i in "${!loads[@]}"; do
		wait "${load_pids[$i]}" || bad=1
		text="$logs/load-${loads[$i]}.log"
		sent="$(field requests "$text")"
		succeeded="$(field successes "$text")"
		printf '%-18s %6s requests, %6s answered correctly, p50 %s us, p99 %s us\n' "${loads[$i]}" "${sent:-?}" "${succeeded:-?}" \
			"$(field p50_us "$text")" "$(field p99_us "$text")"
		if [[ "${loads[$i]}" == bookings-* ]]; then bookings=$((bookings + ${succeeded:-0})); fi
		if [[ -z "$sent" || "$sent" == 0 || "$sent" != "$succeeded" ]]; then
			grep -v '^{' "$text" >&2 || true
			bad=1
		fi
	done
	load_pids=()
	((bad == 0)) || fail "not all requests were answered correctly"
}

show_evidence() {
	local service list="" text
	for service in "${!control[@]}"; do list+="${list:+,}${control[$service]}"; done
	cat "$logs"/not-run-* >"$logs/not-run"
	text="$(bin/loadgen evidence -controls "$list" -not-run "$logs/not-run")" || {
		printf '%s\n' "$text" >&2
		fail "the upstreams saw a limit exceeded or a key run twice"
	}
	sed 's/,"targets":.*//; s/^{//; s/"//g; s/,/, /g' <<<"$text"
	grep -q "\"keys\":$bookings," <<<"$text" || fail "$bookings bookings were answered, but the upstreams ran another number of keys"
	echo "no target was over its slots or connections, and each of the $bookings bookings ran exactly once"
}

main() {
	say "building"
	make build
	check_ports
	say "starting (settings $settings, base port $base)"
	start_back
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
