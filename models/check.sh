#!/usr/bin/env bash
# Checks models/*.pml with Spin: each model must satisfy its properties, and each of its mutants must be rejected.
#
# Usage: check.sh [--bounded] [MODEL...]
# MODEL is a file name without .pml; the default is all models. --bounded checks the models in small state spaces.
#
# Comment lines at the head of a model configure its checks. They start with "// ", or with " * " in a block comment:
#   ltl: NAME              formula to verify in addition to the assertions, in a run of its own with weak fairness. The
#                          model needs a process that never blocks, because pan -f misses violations of runs that end.
#   mutant: MACRO [NAME]   macro that removes one rule. With -DMACRO, the assertions or the formula NAME must report an error.
#   pan: FLAGS             additional compiler flags for the verifier
#   run: FLAGS             additional flags for running the verifier
#   bounded: FLAGS         macros that reduce the state space of the model for --bounded
set -euo pipefail
models="$(cd "$(dirname "$0")" && pwd)"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
max_depth=2000000
run_limit=900 # seconds per verifier
# Up to $jobs verifiers run in parallel, each with up to $memory_mib MiB.
if [ "${1:-}" = --bounded ]; then
	mode=bounded jobs=6 memory_mib=1024
	shift
else
	mode=full jobs=2 memory_mib=4096
fi

# header KEY MODEL prints the values of a key at the head of a model.
header() { sed -nE "s#^(//| \*) $1: *##p" "$2"; }

# run MODEL LTL MACRO verifies one property and prints a verdict that starts with "ok", "error" or "incomplete". An empty
# LTL selects the assertions, an empty MACRO the unchanged model.
run() {
	local model="$1" ltl="$2" macro="$3" dir reduced=""
	dir="$(mktemp -d -p "$work")"
	# The verifier of a mutant stops at the first error, so it needs no smaller state space and no optimization: compiling
	# takes longer than the run.
	local optimize=-O0
	if [ -z "$macro" ]; then
		optimize=-O2
		if [ "$mode" = bounded ]; then reduced="$(header bounded "$model")"; fi
	fi
	(
		cd "$dir"
		# shellcheck disable=SC2086
		spin ${macro:+-D"$macro"} $reduced -a "$model" >spin.log 2>&1 || { cat spin.log >&2; exit 2; }
		local flags=("$optimize" -w "-DMEMLIM=$memory_mib")
		[ -n "$ltl" ] && flags+=(-DNFAIR=4) || flags+=(-DSAFETY -DNOCLAIM)
		# shellcheck disable=SC2046
		cc "${flags[@]}" $(header pan "$model") -o pan pan.c || exit 2
		local args=("-m$max_depth")
		[ -n "$ltl" ] && args+=(-a -f -N "$ltl")
		# shellcheck disable=SC2046
		timeout "$run_limit" ./pan "${args[@]}" $(header run "$model") >pan.log 2>&1 || true
	) || return 2
	if grep -q 'errors: [1-9]' "$dir/pan.log"; then
		echo "error $(sed -n 's/^pan:1: *//p' "$dir/pan.log" | sed 's/ (at depth.*//')"
	elif grep -q 'errors: 0' "$dir/pan.log" && ! grep -Eq 'Search not completed|max search depth too small|out of memory' "$dir/pan.log"; then
		echo "ok $(grep -o '[0-9]* states, stored' "$dir/pan.log" || true)"
	else
		tail -n 20 "$dir/pan.log" >&2
		echo incomplete
	fi
}

# check_property MODEL LTL verifies that the model satisfies a formula or, if LTL is empty, its assertions.
check_property() {
	local verdict
	verdict="$(run "$1" "$2" "")" || verdict=failed
	echo "$(basename "$1" .pml) ${2:-assertions}: $verdict"
	[[ "$verdict" == ok* ]]
}

# check_mutant MODEL MACRO [LTL] verifies that a formula or, by default, the assertions reject a mutant.
check_mutant() {
	local model="$1" mutant="$2" formula="${3:-}" name verdict
	name="$(basename "$model" .pml)"
	if ! grep -Eq "\b$mutant\b" <(sed -E '/^(\/\/| \*)/d' "$model"); then
		echo "$name mutant $mutant: the macro is not used"
		return 1
	fi
	verdict="$(run "$model" "$formula" "$mutant")" || verdict=failed
	if [[ "$verdict" == error* ]]; then
		echo "$name mutant $mutant: rejected by ${formula:-assertions}: ${verdict#error }"
		return
	fi
	echo "$name mutant $mutant: NOT REJECTED"
	return 1
}

# start NUMBER CHECK... runs a check in the background once fewer than $jobs checks run. Its output is printed at the end,
# in the order of the numbers.
start() {
	local number="$1"
	shift
	while (($(jobs -rp | wc -l) >= jobs)); do wait -n || true; done
	{ "$@" >"$work/$number.report" || touch "$work/failed"; } &
}

number=1000
for name in "$@"; do
	if [ ! -f "$models/$name.pml" ]; then
		echo "$name: no such model"
		touch "$work/failed"
	fi
done
for model in "$models"/*.pml; do
	name="$(basename "$model" .pml)"
	if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
	while IFS= read -r formula; do
		start $((number += 1)) check_property "$model" "$formula"
	done < <(echo; header ltl "$model")
	mapfile -t mutants < <(header mutant "$model")
	if [ ${#mutants[@]} -eq 0 ]; then
		echo "$name: no mutant is listed"
		touch "$work/failed"
	fi
	for mutant in "${mutants[@]}"; do
		# shellcheck disable=SC2086
		start $((number += 1)) check_mutant "$model" $mutant
	done
done
wait
find "$work" -maxdepth 1 -name '*.report' | sort | xargs -r cat
[ ! -e "$work/failed" ]
