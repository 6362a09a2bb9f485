#!/usr/bin/env bash
# Runs go test on packages and tolerates failures of the tests that KNOWN-RED.txt in the working directory lists, in lines
#   test: PACKAGE NAME
# where PACKAGE is a path such as ./e2e and NAME is a test or a subtest (TestFaults/zone_lost). The listed tests run
# separately: their failures are printed but don't fail the script, and tests that pass again are reported. The script
# fails for every other failure and for an entry that doesn't name a package and a test.
#
# Usage: test.sh PACKAGE...
# Environment: EBONY_TEST_FLAGS (additional flags for go test).
set -euo pipefail
file=KNOWN-RED.txt
read -ra flags <<<"${EBONY_TEST_FLAGS:-}"
output="$(mktemp)"
trap 'rm -f "$output"' EXIT

# entries prints a line "IMPORT_PATH NAME" for each listed test.
entries() {
	local package name path
	[ -e "$file" ] || return 0
	while read -r package name; do
		if ! path="$(go list "$package")" || [ -z "$name" ]; then
			echo "$file: test: $package $name: not a package and the name of a test" >&2
			return 1
		fi
		printf '%s %s\n' "$path" "$name"
	done < <(sed -nE 's/^test: +//p' "$file")
}

# pattern NAME prints a regular expression for go test that matches only the given test or subtest.
pattern() {
	printf '%s' "$1" | sed -E 's/[][().*+?^$|{}\\]/\\&/g; s#/#$/^#g; s/^/^/; s/$/$/'
}

known="$(entries)"
selected="$(go list "$@")"
failed=0
unlisted=()
while read -r package; do
	skip=""
	while read -r listed name; do
		if [ "$listed" = "$package" ]; then skip+="${skip:+|}$(pattern "$name")"; fi
	done <<<"$known"
	if [ -z "$skip" ]; then
		unlisted+=("$package")
	else
		go test "${flags[@]}" -skip "$skip" "$package" || failed=1
	fi
done <<<"$selected"
if ((${#unlisted[@]} > 0)); then
	go test "${flags[@]}" "${unlisted[@]}" || failed=1
fi

while read -r package name; do
	if [ -z "$name" ] || ! grep -qxF "$package" <<<"$selected"; then continue; fi
	if go test "${flags[@]}" -v -run "$(pattern "$name")" "$package" >"$output" 2>&1; then
		verdict="passes again"
	else
		verdict="fails as listed"
		sed -E 's/^( *)(--- FAIL|FAIL)/\1known \2/' "$output"
	fi
	if ! grep -qE "^=== RUN +$(pattern "$name" | tr -d '^$')\$" "$output"; then
		verdict="names no test that runs"
		failed=1
	fi
	printf 'KNOWN-RED.txt: %s %s %s\n' "$package" "$name" "$verdict"
done <<<"$known"
exit "$failed"
