#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts under review/, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/[6-9]/main.rs review/10/main.rs; do
    [ -e "$main" ] || continue
    n=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -A warnings -o "target/review-2/case-$n" "$main"
done
