#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the programs of the deploy file. Their
# stand-ins, and the project's own that they use, are Python and need no compiler; this
# checks that all of them load with what deploy/build has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
bash deploy/build
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/target/deps:$PWD/platform:$PWD/review"
python3 -S -P -c 'import stand_ins_2.deployment, stand_ins_2.link, stand_ins_2.silent_engine'
for case in review/{6..10}/case.py; do
    [ ! -f "$case" ] || python3 -S -P -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
