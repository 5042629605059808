#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library: nothing to build, only a
# check that this machine's Python takes them.
set -eu
cd "$(dirname "$0")"
python3 - harness.py */case.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
