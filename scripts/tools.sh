#!/usr/bin/env bash
# Installs the tools that CI needs if they are missing: golangci-lint, at a pinned version, and the model checker Spin.
# Each installation is retried once, because it depends on package registries.
set -euo pipefail
golangci_version=v2.15.0

install_linter() {
	go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$golangci_version"
}

install_spin() {
	apt-get update -qq
	apt-get install -y -qq spin
}

if ! golangci-lint version 2>/dev/null | grep -q "${golangci_version#v}"; then
	install_linter || install_linter
fi
if ! command -v spin >/dev/null; then
	install_spin || install_spin
fi
