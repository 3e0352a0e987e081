#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$dir/../.." && pwd)
program=$root/target/review-2/standin-2
[ -x "$program" ] || { echo "review/build-2.sh has not been run"; exit 2; }
exec "$program" case cut-watch "$dir" "$root"
