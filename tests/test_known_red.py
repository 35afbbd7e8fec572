"""The list of tests that are known to fail: only those may, and none of them may pass unseen."""

import subprocess
import sys
from pathlib import Path

import pytest

GOOD, BAD = "tests/test_it.py::test_good", "tests/test_it.py::test_bad"
ROW = "{} | a cause | an issue\n"


@pytest.mark.parametrize(
    "listed, code",
    [
        ("", 1),
        (ROW.format(BAD), 0),
        (ROW.format(GOOD), 1),
        (ROW.format(BAD) + ROW.format(GOOD), 1),
        (f"{BAD} | no issue\n", 4),
        (ROW.format(BAD) * 4, 4),
    ],
)
def test_only_the_listed_may_fail_and_they_must(tmp_path, listed, code):
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
    assert done.returncode == code, done.stdout
    assert code == 4 or done.stdout.count("KNOWN RED: ") == listed.count("\n")
