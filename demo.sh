#!/usr/bin/env bash
# Builds the programs and runs the demo on embedded stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --quiet --workspace --bins
cargo run --quiet -p jasminestage-standins --bin demo
