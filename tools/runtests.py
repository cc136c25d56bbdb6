"""Runs pytest and behave and prints one closing line for both.

A failing test that KNOWN-RED.txt names (lines ``test: <id>``) is printed and
counted as skipped; every other failure makes the run fail.
"""

import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

# The tests of one file share its models, so a file stays with one worker.
_WORKERS = ("-n", "6", "--dist", "loadfile")
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def _known_red():
    path = _ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.partition(":")[2].strip()
        for line in lines
        if line.startswith("test:")
    }


def _results(folder):
    """Yield ``(test id, outcome)`` from the JUnit files in ``folder``."""
    for path in sorted(folder.glob("*.xml")):
        for case in ElementTree.parse(path).iter("testcase"):
            name = "%s::%s" % (case.get("classname"), case.get("name"))
            outcome = "passed"
            for child in case:
                if child.tag in ("failure", "error"):
                    outcome = "failed"
                elif child.tag == "skipped" and outcome == "passed":
                    outcome = "skipped"
            yield name, outcome


def _run(arguments):
    return subprocess.run(
        [sys.executable, "-m", *arguments], cwd=_ROOT, check=False
    ).returncode


def main():
    """Run all tests; return the exit code."""
    known = _known_red()
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        report = ["--junitxml", str(folder / "pytest.xml")]
        codes = [_run(["pytest", *_WORKERS, *report])]
        if list((_ROOT / "features").glob("*.feature")):
            codes.append(
                _run(
                    ["behave", "--format", "progress", "--junit"]
                    + ["--junit-directory", name, "features"]
                )
            )
        for test, outcome in _results(folder):
            if outcome == "failed" and test in known:
                print("known red: %s" % test)
                outcome = "skipped"
            elif outcome == "failed":
                print("failed: %s" % test)
            counts[outcome] += 1
    broken = any(code not in (0, 1) for code in codes)
    if broken:
        print("a test runner ended with exit codes %s" % codes)
        counts["failed"] += 1
    closing = "%(passed)d passed, %(failed)d failed" % counts
    if counts["skipped"]:
        closing += ", %(skipped)d skipped" % counts
    print(closing)
    return 1 if counts["failed"] or not counts["passed"] else 0


if __name__ == "__main__":
    sys.exit(main())
