#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: one program, without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2/src/main.rs
