#!/usr/bin/env bash
# Builds the programs and runs all tests with fixed seeds.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --quiet --workspace --bins
cargo test --workspace --no-fail-fast "$@"
