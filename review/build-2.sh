#!/bin/sh
# Builds the stand-ins of the second review's scripts. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/standins review/standins-2/main.rs
