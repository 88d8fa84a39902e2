"""Runs the tests and passes over just those listed in KNOWN-RED.txt.

Each entry of that file starts with a line `test: NODE-ID`; the lines below it
(command, seed, what was seen, issue) are for people.
"""

import pathlib
import subprocess
import sys

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
PREFIX = "test: "


def listed_tests() -> list[str]:
    """Returns the node ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [ln[len(PREFIX) :].strip() for ln in lines if ln.startswith(PREFIX)]


def main() -> int:
    """Runs pytest without the listed tests and prints what was left out."""
    cmd = [sys.executable, "-m", "pytest"]
    for test in listed_tests():
        print(f"known red, not run: {test}")
        cmd += ["--deselect", test]
    return subprocess.call(cmd + sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
