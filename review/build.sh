#!/usr/bin/env bash
# The stand-ins are Python scripts on the standard library alone. There is nothing to compile; this checks that
# they can be run.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [0-9]*/*.py; do
    python3 - "$file" <<'PY'
import ast, sys
ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])
PY
done
