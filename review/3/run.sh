#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
if [ ! -x "$program" ] || [ ! -x target/tier/opalrun ]; then
    echo "the programs are not built" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
TMPDIR=$folder "$program" unframed review/3/record.txt &
driver=$!

# Ends a run that is broken off, with all processes that it has started: they are the driver's children, by their ids.
break_off() {
    kill -STOP "$driver" 2>/dev/null
    children=$(cat /proc/"$driver"/task/*/children 2>/dev/null)
    kill -KILL "$driver" $children 2>/dev/null
    wait "$driver" 2>/dev/null
    rm -rf "$folder"
    exit 2
}
trap break_off TERM INT HUP

wait "$driver"
status=$?
rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"
