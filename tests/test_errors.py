"""Errors shown to operators: each says what failed, where, and what to do; docs/errors.md lists all of them."""

import ast
import importlib
import pkgutil
import re
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

import lapiswing
from lapiswing.cli.main import main
from lapiswing.errors import CantListen, OperatorError
from lapiswing.store import StoreError

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "errors.md").read_text()


def all_error_types():
    """-> all subclasses of OperatorError in the package."""
    for module in pkgutil.walk_packages(lapiswing.__path__, "lapiswing."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    pending, found = [OperatorError], []
    while pending:
        for kind in pending.pop().__subclasses__():
            if kind not in found and kind.__module__.startswith("lapiswing."):
                found.append(kind)
                pending.append(kind)
    return found


def rows():
    """-> the page's table: {type: (module, exit codes)}."""
    return {
        m[1]: (m[2], {int(c) for c in re.findall(r"\d", m[3])})
        for m in re.finditer(r"^\| `(\w+)` \| `([\w.]+)` \|.*?\| ([\d, ]+) \|", PAGE, re.M)
    }


def test_the_page_lists_every_type_with_its_module_exit_code_and_advice():
    documented, kinds = rows(), {kind.__name__: kind for kind in all_error_types()}
    assert set(documented) == set(kinds)
    for name, kind in kinds.items():
        module, codes = documented[name]
        assert module == kind.__module__
        assert kind.exit_code in codes
        for advice in [kind.advice, *getattr(kind, "advices", {}).values()]:
            assert not advice or advice in PAGE, (name, advice)


def test_each_type_says_in_one_sentence_what_to_do():
    for kind in all_error_types():
        advices = [*getattr(kind, "advices", {}).values()] or [kind.advice]
        if kind.__name__ == "AdminError":
            from lapiswing.admin.client import ADVICE

            advices = ADVICE.values()
        for advice in advices:
            assert advice.endswith(".") and len(advice) > 20 and not re.search(r"\.\s", advice), advice


def test_internal_exceptions_are_not_operator_errors():
    """Exceptions caught within their own package are not for operators."""
    names = {kind.__name__ for kind in all_error_types()}
    assert not names & {
        "Bad",
        "ProtocolError",
        "Wrong",
        "RequestError",
        "InvalidCall",
        "Unknown",
        "UnknownApiKey",
        "Damaged",
        "BadFrame",
        "BadAnswer",
        "Refused",
        "TooLong",
        "EventTooLong",
        "Impossible",
        "ActionRefused",
    }


@pytest.mark.parametrize("kind", ["locked", "damaged", "newer", "io"])
def test_where_what_and_advice(kind):
    problem = StoreError(kind, "00000001.log", "ends in the middle")
    assert str(problem) == "00000001.log: ends in the middle"
    assert (problem.where, problem.what) == ("00000001.log", "ends in the middle") and problem.advice


def test_the_command_line_prints_both_lines_and_no_traceback(tmp_path):
    result = CliRunner().invoke(main, ["act", "--at", str(tmp_path / "none.sock"), "drain", "b1"])
    assert result.exit_code == 1
    first, second = result.output.splitlines()
    assert first == f"Error: {tmp_path / 'none.sock'}: No such file or directory"
    assert second.startswith("To do: See that a gateway")


def test_invalid_settings_are_reported_line_by_line_with_advice(tmp_path):
    file = tmp_path / "s.txtpb"
    file.write_text('gateway { name: "x" }\ngroup { name: "a" effect: REPLAYABLE target_ms: 0 }\n')
    result = CliRunner().invoke(main, ["serve", str(file)])
    lines = result.output.splitlines()
    assert result.exit_code == 2 and len(lines) > 2
    assert all(line.startswith(f"Error: {file}:") for line in lines[:-1])
    assert lines[-1].startswith("To do: Mend")


def test_foreign_text_can_not_control_the_terminal():
    from lapiswing.admin.client import AdminError
    from lapiswing.cli.common import Told

    runner, problem = CliRunner(), Told(AdminError("", "no such box: \x1b[2J", 404))
    with runner.isolation() as streams:
        problem.show()
        assert b"\x1b" not in streams[1].getvalue() + streams[0].getvalue()


def test_an_address_in_use_is_reported_with_the_address(tmp_path):
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        port = occupied.getsockname()[1]
        fleet = tmp_path / "f.json"
        fleet.write_text('{"boxes": [{"id": "127.0.0.1:%d", "role": "read"}]}' % port)
        result = CliRunner().invoke(main, ["standin", str(fleet)])
    assert result.exit_code == 2 and "can't listen" in result.output
    assert "To do: " + CantListen.advice in result.output


def test_the_platform_gateway_prints_both_lines_and_exits_with_2(tmp_path):
    config = tmp_path / "config.json"
    config.write_text("{")
    done = subprocess.run(
        [sys.executable, "-m", "lapiswing.node"], env={"RELAY_CONFIG": str(config)}, cwd=ROOT, capture_output=True, text=True
    )
    first, second = done.stderr.splitlines()
    assert done.returncode == 2 and first.startswith(f"{config}: file: not JSON")
    assert second.startswith("Mend")


def test_only_main_imports_the_other_commands():
    """No module of the command line imports another one except `common`, so there are no import cycles."""
    folder = ROOT / "lapiswing" / "cli"
    for file in folder.glob("*.py"):
        imported = {
            node.module
            for node in ast.walk(ast.parse(file.read_text()))
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("lapiswing.cli")
        }
        assert file.name == "main.py" or imported <= {"lapiswing.cli.common"}, (file.name, imported)
    for file in (ROOT / "lapiswing").rglob("*.py"):  # and no other package imports the command line
        if folder not in file.parents and file.name != "__main__.py":
            assert "lapiswing.cli.main" not in file.read_text(), file
