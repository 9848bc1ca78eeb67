#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, under target/. The crates are those that the
# workspace's Cargo.lock names.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
