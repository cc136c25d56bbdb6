#!/usr/bin/env bash
# Writes record.txt. With TROUBLE=0 the disruption is left out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")"
exec python3 case.py
