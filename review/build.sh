#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-standin .
