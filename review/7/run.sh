#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/memory_burst
[ -x "$program" ] || { echo "$program is not built: review/build-2.sh builds it"; exit 2; }
exec "$program" review/7
