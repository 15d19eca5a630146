#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jasminestage-edge ] && [ -x target/review-3/case-12 ] || exit 2
exec timeout -k 5 118 target/review-3/case-12 review/12/record.txt
