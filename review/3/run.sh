#!/usr/bin/env bash
# Plays the case, about 15 s. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Build first: the build command of the deploy file, then review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/standins cut-at-stop review/3/record.txt
