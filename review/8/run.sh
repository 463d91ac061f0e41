#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -d target/deps/bamboopier_site ] || { echo "run deploy/build first" >&2; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/target/deps:$PWD/platform:$PWD/review"
timeout --kill-after=8 108 python3 -S "$here/case.py" &
running=$!
trap 'kill -TERM "$running" 2>/dev/null' TERM INT HUP
wait "$running"
status=$?
# A signal ends the first wait; the case then ends what it started.
while kill -0 "$running" 2>/dev/null; do
    wait "$running"
    status=2
done
case $status in 10) exit 0 ;; 11) exit 1 ;; *) exit 2 ;; esac
