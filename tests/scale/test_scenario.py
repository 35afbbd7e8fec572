"""An invalid scenario is rejected before any process starts, with the file, the field and the reason."""

import subprocess
import sys

import pytest

from benchmarks.scale import rig, scenario
from benchmarks.scale.scenario import MAX_PROCESSES, FleetSize, Load, Scenario, ScenarioError

VALID = """
seed = 1
[fleet]
servers = 12
real_gateways = 1
[load]
seconds = 4.0
requests_a_gateway = 3.0
"""


def write_scenario(tmp_path, text):
    path = tmp_path / "a.toml"
    path.write_text(text)
    return path


def test_a_valid_scenario_is_loaded(tmp_path):
    plan = scenario.load(write_scenario(tmp_path, VALID + '[[fault]]\nkind = "zone"\nat_s = 1.0\nfor_s = 2.0\n'))
    assert plan.fleet.servers == 12 and plan.fault[0].kind == "zone" and plan.processes == 4


@pytest.mark.parametrize(
    "text, field, reason",
    [
        (VALID.replace("servers = 12", "servers = 12\nserverz = 3"), "fleet", "unknown field `serverz`"),
        (VALID.replace("requests_a_gateway = 3.0", "requests_a_gateway = -1.0"), "load.requests_a_gateway", ">= 0"),
        (VALID.replace("servers = 12", "servers = 0"), "fleet.servers", ">= 1"),
        (VALID.replace("servers = 12", 'servers = "many"'), "fleet.servers", "Expected `int`"),
        (VALID.replace("real_gateways = 1", "real_gateways = 0"), "load.requests_a_gateway", "no real gateway"),
        (VALID.replace("real_gateways = 1", "real_gateways = 400"), "fleet", "processes, 300 at most"),
        (VALID.replace("real_gateways = 1", "real_gateways = 1\nhollow_gateways = 9000"), "fleet", "MB"),
        (VALID + '[[fault]]\nkind = "flood"\nat_s = 1.0\n', "fault[0].kind", "flood"),
        (VALID + '[[fault]]\nkind = "zone"\nat_s = 3.0\nfor_s = 2.0\n', "fault[0]", "ends after the load"),
        (VALID + '[[fault]]\nkind = "change"\nat_s = 1.0\ncount = 13\n', "fault[0].count", "13 of 12"),
        ("[fleet\n", "file", "not TOML"),
        ("seed = 1\n", "top level", "fleet"),
    ],
)
def test_an_invalid_scenario_names_file_field_and_reason(tmp_path, text, field, reason):
    path = write_scenario(tmp_path, text)
    with pytest.raises(ScenarioError) as error:
        scenario.load(path)
    message = str(error.value)
    assert message.startswith(f"{path}: {field}") and reason in message and error.value.exit_code == 2


def test_the_command_exits_with_2_and_starts_nothing(tmp_path, monkeypatch):
    path = write_scenario(tmp_path, VALID.replace("servers = 12", "servers = -1"))
    completed = subprocess.run([sys.executable, "-m", "benchmarks.scale", "rig", str(path)], capture_output=True, text=True)
    assert (
        completed.returncode == 2
        and "fleet.servers" in completed.stderr
        and str(path) in completed.stderr
        and "ready" not in completed.stderr
    )
    assert not completed.stdout


def test_too_little_memory_is_reported_before_the_start():
    plan = Scenario(FleetSize(640, 24, 410), Load(60.0))
    assert plan.processes <= MAX_PROCESSES
    with pytest.raises(ScenarioError, match="MB, 1000 at most"):
        scenario.check_size("a", plan, machine_mb=1000)


def test_a_small_fleet_runs_and_its_traffic_is_counted():
    """Real and hollow gateways in front of hollow servers, while servers drain and discovery stops answering for a while."""
    plan = Scenario(
        FleetSize(12, 1, 4, zones=3),
        Load(5.0, 8.0, tokens_a_request=24),
        fault=[scenario.Fault("change", 0.5), scenario.Fault("silence", 1.0, 1.5), scenario.Fault("change", 1.5, count=2)],
        seed=3,
    )
    test_rig = rig.Rig(plan)
    try:
        test_rig.start()
        record = test_rig.run()
    finally:
        test_rig.close()
    assert (
        record["outcomes"]["served"] > 10 and record["outcomes"]["served"] == sum(record["outcomes"].values()) == record["asked"]
    )
    assert len(record["changes"]) == 3
    assert all(row["heard_by"] == row["of"] == 4 and row["last_ms"] < 6000 for row in record["changes"])
    assert record["servers"]["prefills"]["sum"] >= record["asked"] and record["late_attempts"] == 0
    assert record["discovery"]["calls unanswered"] > 0 and record["discovery"]["whole lists"] >= 5
