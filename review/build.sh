#!/bin/bash
# Builds the stand-ins of the review's scripts. The programs of the deploy file are built before.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin .
