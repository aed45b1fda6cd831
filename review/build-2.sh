#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. The programs of the system are built by deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/standin-2
