#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/16 to review/20.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig4 ./review/rig4
