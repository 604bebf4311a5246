#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/site3 ./review/site3
go build -o target/review-3/rig3 ./review/rig3
