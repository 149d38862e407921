#!/usr/bin/env bash
# Runs a case's script five times with the disruption and five times without: review/five.sh N.
cd "$(dirname "$0")" || exit 2
for trouble in 1 0; do
  for _ in 1 2 3 4 5; do
    TROUBLE=$trouble "$1/run.sh"
    printf 'TROUBLE=%s exit %s\n' "$trouble" $?
  done
done
