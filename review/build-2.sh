#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
for n in 6 7 8 9 10; do
  if [ -f "review/$n/main.go" ]; then
    go build -o "target/review-$n" "./review/$n"
  fi
done
