#!/usr/bin/env bash
# Runs go test on packages and passes over the known faults that KNOWN-RED.txt in the working directory lists, in lines
#   test: PACKAGE NAME
# where PACKAGE is a path such as ./e2e and NAME is that of a test or a case (TestFaults/zone_lost). These run as well:
# their failures are printed and passed over, and one that passes again is printed as such. Every other failure, and an
# entry that names no package or no test, fails.
# Arguments: packages. EBONY_TEST_FLAGS holds further flags of go test.
set -euo pipefail
file=KNOWN-RED.txt
read -ra flags <<<"${EBONY_TEST_FLAGS:-}"
output="$(mktemp)"
trap 'rm -f "$output"' EXIT

# entries lists the known faults as "import path, name".
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

# pattern NAME prints the regular expression that matches exactly one test or case.
pattern() {
	printf '%s' "$1" | sed -E 's/[][().*+?^$|{}\\]/\\&/g; s#/#$/^#g; s/^/^/; s/$/$/'
}

known="$(entries)"
selected="$(go list "$@")"
failed=0
plain=()
while read -r package; do
	skip=""
	while read -r listed name; do
		if [ "$listed" = "$package" ]; then skip+="${skip:+|}$(pattern "$name")"; fi
	done <<<"$known"
	if [ -z "$skip" ]; then
		plain+=("$package")
	else
		go test "${flags[@]}" -skip "$skip" "$package" || failed=1
	fi
done <<<"$selected"
if ((${#plain[@]} > 0)); then
	go test "${flags[@]}" "${plain[@]}" || failed=1
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
