#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -d target/deps/bamboopier_site ] || { echo "run deploy/build first" >&2; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/target/deps:$PWD/platform:$PWD/review"
timeout --kill-after=2 116 python3 -S "$here/case.py"
case $? in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
