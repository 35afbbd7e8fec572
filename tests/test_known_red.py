"""The list of known failures in KNOWN-RED.txt: only listed tests may fail, and a listed test that passes fails the run."""

import subprocess
import sys
from pathlib import Path

import pytest

PASSING_TEST, FAILING_TEST = "tests/test_it.py::test_good", "tests/test_it.py::test_bad"
ROW_FORMAT = "{} | a cause | an issue\n"


@pytest.mark.parametrize(
    "listed, exit_code",
    [
        ("", 1),
        (ROW_FORMAT.format(FAILING_TEST), 0),
        (ROW_FORMAT.format(PASSING_TEST), 1),
        (ROW_FORMAT.format(FAILING_TEST) + ROW_FORMAT.format(PASSING_TEST), 1),
        (f"{FAILING_TEST} | no issue\n", 4),
        (ROW_FORMAT.format(FAILING_TEST) * 4, 4),
    ],
)
def test_only_the_listed_may_fail_and_they_must(tmp_path, listed, exit_code):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (tmp_path / "tests" / "test_it.py").write_text("def test_good():\n    pass\n\n\ndef test_bad():\n    assert False\n")
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-p", "no:hypothesispytest", "--rootdir", str(tmp_path)],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert done.returncode == exit_code, done.stdout
    assert exit_code == 4 or done.stdout.count("KNOWN RED: ") == listed.count("\n")
