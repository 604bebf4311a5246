#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the case without its disruptions. Three sites of their own play side by side.
cd "$(dirname "$0")/../.." || exit 2
pids=()
for n in 1 2 3; do
  target/review-standin takeover "review/3/site-$n.txt" &
  pids+=($!)
done
status=0
for p in "${pids[@]}"; do
  wait "$p"
  s=$?
  if [ $s = 1 ] || [ $status = 0 ]; then status=$s; fi
done
cat review/3/site-?.txt > review/3/record.txt
rm review/3/site-?.txt
exit $status
