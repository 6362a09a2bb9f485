#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin3"
GOWORK=off go build -o ../../target/review-standin3 .
