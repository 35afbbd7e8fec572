"""Slow start on machines whose wall clock was stepped: no server is taken for warmer than it can be."""

import ast
import subprocess
import sys
import time
from pathlib import Path

import pytest
from platform_harness import PlatformHarness

MS, S = 1000, 1_000_000
HOUR_S = 3600


@pytest.fixture
def step(monkeypatch):
    """-> a function that steps this process's wall clock by some seconds; the monotonic clock is not affected."""
    real, by = time.time_ns, [0.0]
    monkeypatch.setattr(time, "time_ns", lambda: real() + round(by[0] * 1e9))
    return lambda seconds: by.__setitem__(0, seconds)


def unix_ms():
    """-> the time as shown by the clocks of the other machines."""
    return time.clock_gettime_ns(time.CLOCK_REALTIME) // 1_000_000


def cold_for_us(harness, server):
    """-> for how long from now a server is treated as cold."""
    state = harness.core.router.servers[server.name]
    left = state.started_us + harness.core.router.slow_start_us - harness.loop.clock.now_us()
    return max(0, left) if state.started_us else 0


@pytest.mark.parametrize("seconds", [HOUR_S, -HOUR_S, 5, -5])
@pytest.mark.parametrize("fleet", ["one", "all"])
def test_a_server_that_has_just_started_is_cold_in_the_first_list_on_a_machine_with_a_stepped_clock(
    tmp_path, step, monkeypatch, seconds, fleet
):
    from lapiswing.standin import platform

    construct = platform.ModelServer.__init__

    def just_started(server, *args, **kwargs):
        construct(server, *args, **kwargs)
        if fleet == "all" or server.name == "s-2":
            server.since_ms = unix_ms() - 1000

    monkeypatch.setattr(platform.ModelServer, "__init__", just_started)
    step(seconds)
    with PlatformHarness(tmp_path, ("both", "both", "both")) as harness:
        slow_start_us = harness.core.router.slow_start_us
        for server in harness.platform.servers.values():
            new = fleet == "all" or server.name == "s-2"
            assert (
                slow_start_us - 1200 * MS <= cold_for_us(harness, server) <= slow_start_us
                if new
                else not cold_for_us(harness, server)
            )


@pytest.mark.parametrize("seconds", [HOUR_S, -HOUR_S, 60, 0])
def test_a_server_that_starts_later_is_cold_for_one_slow_start(tmp_path, step, seconds):
    step(seconds)
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        harness.until(lambda: harness.platform.discovery.waiting)
        server = harness.platform.servers["s-1"]
        server.since_ms = unix_ms()
        harness.platform.discovery.tell(server.row())
        harness.until(lambda: cold_for_us(harness, server))
        assert harness.core.router.slow_start_us - 300 * MS <= cold_for_us(harness, server) <= harness.core.router.slow_start_us


@pytest.mark.parametrize("seconds", [HOUR_S, -HOUR_S])
def test_a_step_while_the_process_runs_changes_no_start(tmp_path, step, seconds):
    with PlatformHarness(tmp_path, ("both", "both")) as harness:
        harness.until(lambda: harness.platform.discovery.waiting)
        server, other = harness.platform.servers.values()
        server.since_ms = unix_ms()
        harness.platform.discovery.tell(server.row())
        harness.until(lambda: cold_for_us(harness, server))
        started_us = harness.core.router.servers[server.name].started_us
        step(seconds)
        other.status = "DRAINING"
        harness.platform.discovery.tell(server.row(), other.row())
        harness.until(lambda: harness.core.router.servers[other.name].mode == "draining")
        assert harness.core.router.servers[server.name].started_us == started_us


def test_servers_that_started_long_before_the_newest_are_warm_whatever_the_clock_shows(tmp_path, step, monkeypatch):
    from lapiswing.standin import platform

    construct = platform.ModelServer.__init__

    def old(server, *args, **kwargs):
        construct(server, *args, **kwargs)
        server.since_ms = unix_ms() - {"s-1": 600_000, "s-2": 20_000, "s-3": 6_000}[server.name]

    monkeypatch.setattr(platform.ModelServer, "__init__", old)
    step(HOUR_S)
    with PlatformHarness(tmp_path, ("both", "both", "both")) as harness:
        one, two, three = harness.platform.servers.values()
        assert not cold_for_us(harness, one) and 0 <= cold_for_us(harness, two) <= S
        assert cold_for_us(harness, three) > 13 * S


def test_only_one_module_that_the_platform_gateway_loads_reads_the_wall_clock():
    loaded = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, lapiswing.node.serve; print(*(m.__file__ for n, m in "
            "sys.modules.items() if n.startswith('lapiswing.') and m.__file__))",
        ],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    callers = set()
    for file in loaded:
        for node in ast.walk(ast.parse(Path(file).read_text())):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and (
                    node.value.id == "time"
                    and node.attr in ("time", "time_ns", "localtime", "gmtime")
                    or node.value.id == "datetime"
                    and node.attr in ("now", "utcnow", "today")
                )
            ):
                callers.add(Path(file).name)
    assert callers <= {"wall_clock.py"}
