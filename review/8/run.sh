#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2/case-8 ] && [ -x target/release/jasminestage-edge ] || exit 2
timeout -k 2 116 target/review-2/case-8 "${RECORD:-$here/record.txt}"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
