"""Runs pytest and behave and prints one summary line for both.

A failing test that is listed in KNOWN-RED.txt (a line ``test: <id>``) is
printed and counted as skipped. Any other failure makes the run fail.
"""

import pathlib
import subprocess
import sys
import tempfile
from xml.etree import ElementTree

# The groups are set in tests/conftest.py, which also orders them.
_WORKER_OPTIONS = (
    "-n",
    "6",
    "--dist",
    "loadgroup",
    "--no-loadscope-reorder",
)
_ROOT = pathlib.Path(__file__).resolve().parent.parent


def _read_known_red():
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    path = _ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {
        line.partition(":")[2].strip()
        for line in lines
        if line.startswith("test:")
    }


def _read_results(folder):
    """Yield ``(test id, outcome, message)`` for each test in JUnit files.

    The message of a failure is printed with the summary, because behave does
    not print it in its progress format.

    :param folder: holds the JUnit files.
    """
    for path in sorted(folder.glob("*.xml")):
        for case in ElementTree.parse(path).iter("testcase"):
            name = "%s::%s" % (case.get("classname"), case.get("name"))
            outcome, message = "passed", ""
            for child in case:
                if child.tag in ("failure", "error"):
                    outcome = "failed"
                    message = child.get("message", "")
                elif child.tag == "skipped" and outcome == "passed":
                    outcome = "skipped"
            yield name, outcome, message


def _run(arguments):
    """Run a Python module; return its exit code."""
    return subprocess.run(
        [sys.executable, "-m", *arguments], cwd=_ROOT, check=False
    ).returncode


def main():
    """Run all tests; return the exit code of this tool."""
    known_red_ids = _read_known_red()
    counts = {"passed": 0, "failed": 0, "skipped": 0}
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        report = ["--junitxml", str(folder / "pytest.xml")]
        exit_codes = [_run(["pytest", *_WORKER_OPTIONS, *report])]
        if list((_ROOT / "features").glob("*.feature")):
            exit_codes.append(
                _run(
                    ["behave", "--format", "progress", "--junit"]
                    + ["--junit-directory", folder_name, "features"]
                )
            )
        for test, outcome, message in _read_results(folder):
            if outcome == "failed" and test in known_red_ids:
                print("known red: %s" % test)
                outcome = "skipped"
            elif outcome == "failed":
                print("failed: %s" % test)
            if message:
                print("    " + message.splitlines()[0])
            counts[outcome] += 1
    has_runner_failed = any(code not in (0, 1) for code in exit_codes)
    if has_runner_failed:
        print(
            "pytest or behave could not run all tests: exit codes %s"
            % exit_codes
        )
        counts["failed"] += 1
    summary = "%(passed)d passed, %(failed)d failed" % counts
    if counts["skipped"]:
        summary += ", %(skipped)d skipped" % counts
    print(summary)
    return 1 if counts["failed"] or not counts["passed"] else 0


if __name__ == "__main__":
    sys.exit(main())
