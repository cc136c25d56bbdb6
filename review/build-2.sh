#!/bin/sh
# Builds the stand-ins of the cases 6 and up. They are Python files without
# dependencies, so it only checks that this Python can read them.
cd "$(dirname "$0")" && python3 -S - <<'END'
import pathlib
import sys

assert sys.version_info >= (3, 11)
for path in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("*/case.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
