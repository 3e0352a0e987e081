#!/usr/bin/env bash
# Builds the workspace and runs the demo on loopback.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace --locked
cargo run --quiet --locked --example demo
