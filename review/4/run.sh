#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the case without its disruptions.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin held-request review/4/record.txt
