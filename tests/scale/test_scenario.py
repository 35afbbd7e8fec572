"""A bad scenario is refused before any process starts, with file, field and reason."""

import subprocess
import sys

import pytest

from benchmarks.scale import rig, scenario
from benchmarks.scale.scenario import MOST_PROCESSES, FleetSize, Load, Scenario, ScenarioError

GOOD = """
seed = 1
[fleet]
servers = 12
real_gateways = 1
[load]
seconds = 4.0
requests_a_gateway = 3.0
"""


def written(tmp_path, text):
    path = tmp_path / "a.toml"
    path.write_text(text)
    return path


def test_a_good_one_is_read(tmp_path):
    plan = scenario.load(written(tmp_path, GOOD + '[[fault]]\nkind = "zone"\nat_s = 1.0\nfor_s = 2.0\n'))
    assert plan.fleet.servers == 12 and plan.fault[0].kind == "zone" and plan.processes == 4


@pytest.mark.parametrize(
    "text, field, reason",
    [
        (GOOD.replace("servers = 12", "servers = 12\nserverz = 3"), "fleet", "unknown field `serverz`"),
        (GOOD.replace("requests_a_gateway = 3.0", "requests_a_gateway = -1.0"), "load.requests_a_gateway", ">= 0"),
        (GOOD.replace("servers = 12", "servers = 0"), "fleet.servers", ">= 1"),
        (GOOD.replace("servers = 12", 'servers = "many"'), "fleet.servers", "Expected `int`"),
        (GOOD.replace("real_gateways = 1", "real_gateways = 0"), "load.requests_a_gateway", "no real gateway"),
        (GOOD.replace("real_gateways = 1", "real_gateways = 400"), "fleet", "processes, 300 at most"),
        (GOOD.replace("real_gateways = 1", "real_gateways = 1\nhollow_gateways = 9000"), "fleet", "MB"),
        (GOOD + '[[fault]]\nkind = "flood"\nat_s = 1.0\n', "fault[0].kind", "flood"),
        (GOOD + '[[fault]]\nkind = "zone"\nat_s = 3.0\nfor_s = 2.0\n', "fault[0]", "ends after the load"),
        (GOOD + '[[fault]]\nkind = "change"\nat_s = 1.0\ncount = 13\n', "fault[0].count", "13 of 12"),
        ("[fleet\n", "file", "not TOML"),
        ("seed = 1\n", "top level", "fleet"),
    ],
)
def test_a_bad_one_names_file_field_and_reason(tmp_path, text, field, reason):
    path = written(tmp_path, text)
    with pytest.raises(ScenarioError) as problem:
        scenario.load(path)
    said = str(problem.value)
    assert said.startswith(f"{path}: {field}") and reason in said and problem.value.exit_code == 2


def test_the_command_ends_with_2_and_starts_nothing(tmp_path, monkeypatch):
    path = written(tmp_path, GOOD.replace("servers = 12", "servers = -1"))
    done = subprocess.run([sys.executable, "-m", "benchmarks.scale", "rig", str(path)], capture_output=True, text=True)
    assert done.returncode == 2 and "fleet.servers" in done.stderr and str(path) in done.stderr and "ready" not in done.stderr
    assert not done.stdout


def test_a_machine_that_is_too_small_is_told_before_the_start():
    plan = Scenario(FleetSize(640, 24, 410), Load(60.0))
    assert plan.processes <= MOST_PROCESSES
    with pytest.raises(ScenarioError, match="MB, 1000 at most"):
        scenario.check_size("a", plan, machine_mb=1000)


def test_a_tiny_fleet_runs_and_is_counted():
    """Real and hollow gateways before hollow servers, with a drain, a dead machine and discovery's silence."""
    plan = Scenario(
        FleetSize(12, 1, 4, zones=3),
        Load(5.0, 8.0, tokens_a_request=24),
        fault=[scenario.Fault("change", 0.5), scenario.Fault("silence", 1.0, 1.5), scenario.Fault("change", 1.5, count=2)],
        seed=3,
    )
    running = rig.Rig(plan)
    try:
        running.start()
        record = running.run()
    finally:
        running.close()
    assert (
        record["outcomes"]["served"] > 10 and record["outcomes"]["served"] == sum(record["outcomes"].values()) == record["asked"]
    )
    assert len(record["changes"]) == 3
    assert all(row["heard_by"] == row["of"] == 4 and row["last_ms"] < 6000 for row in record["changes"])
    assert record["servers"]["prefills"]["sum"] >= record["asked"] and record["late_attempts"] == 0
    assert record["discovery"]["calls unanswered"] > 0 and record["discovery"]["whole lists"] >= 5
