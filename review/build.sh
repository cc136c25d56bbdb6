#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile; they need no libraries.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
