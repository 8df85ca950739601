#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
if [ ! -x "$program" ] || [ ! -x target/tier/opalrun ]; then
    echo "the programs are not built" >&2
    exit 2
fi
exec "$program" unframed review/3/record.txt
