#!/usr/bin/env bash
# Runs case.py of the folder given, with the packages of the deploy file's build.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps ] || [ ! -d target/review ]; then
    echo "run deploy/build and review/build.sh first" >&2
    exit 2
fi
export PYTHONPATH="$PWD/target/deps:$PWD/target/review" PYTHONDONTWRITEBYTECODE=1
exec timeout --preserve-status --signal=TERM --kill-after=5 115 python3 -S "$folder/case.py"
