#!/bin/bash
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/standin2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin2 .
