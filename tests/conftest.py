"""Known failures: the tests listed in KNOWN-RED.txt run like all others and must fail; one that passes fails the run."""

from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


def read_known_failures():
    """-> {test: (cause, issue)} from KNOWN-RED.txt. Raises pytest.UsageError where the file is malformed or too long."""
    lines = KNOWN_FAILURES_FILE.read_text().splitlines() if KNOWN_FAILURES_FILE.exists() else []
    rows = [[part.strip() for part in line.split(" | ")] for line in lines if line.strip()]
    if len(rows) > MAX_KNOWN_FAILURES or any(len(row) != 3 or not all(row) for row in rows):
        raise pytest.UsageError(f"{KNOWN_FAILURES_FILE.name}: {MAX_KNOWN_FAILURES} lines at most, each: test | cause | issue")
    return {test: (cause, issue) for test, cause, issue in rows}


def pytest_collection_modifyitems(items):
    known_failures = read_known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason=known_failures[item.nodeid][0], strict=True))


def pytest_terminal_summary(terminalreporter):
    for test, (cause, issue) in read_known_failures().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {cause} ({issue})")
