#!/usr/bin/env bash
# Puts the stand-ins that the cases start below target/review, and compiles them.
# Run it after deploy/build, whose packages they use; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run deploy/build first" >&2; exit 2; }
next=target/review.next
rm -rf "$next"
mkdir -p "$next"
cp platform/tests/engine_standin.py platform/tests/store_standin.py review/lab.py "$next"
python3 -m compileall -q "$next"
rm -rf target/review
mv "$next" target/review
