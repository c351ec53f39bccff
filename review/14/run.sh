#!/bin/sh
# Runs the case in the root of the repository. TROUBLE=0: without its disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/case-14
