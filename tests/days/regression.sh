#!/usr/bin/env bash
# Plays the regression list: a hunt and a score on each deployment that the users run today.
# Usage: regression.sh KIT FLEETBENCH [JOBS]
# KIT is the folder of the users' pages on the system. The list, and why each is on it: docs/regression.md.
set -euo pipefail
kit=$1
bench=$2
jobs=${3:-4}

# Site file, days of the hunt: fewer on sites of 60 hosts and more.
list=(
    "large/lcfc-hoist-large.toml 8"
    "further/merrimack-points.toml 40"
    "further-grown/merrimack-points-grown.toml 16"
    "shifted/lcfc-hoist-now-grown.toml 16"
    "grown/lcfc-hoist-grown.toml 16"
    "grown/fjordsegl-front-grown.toml 16"
)

for entry in "${list[@]}"; do
    read -r site days <<< "$entry"
    "$bench" hunt "$kit/$site" --days "$days" --jobs "$jobs" --why "Regression: hunt of $days days"
    "$bench" score "$kit/$site" --jobs "$jobs" --why "Regression: score"
done
