"""Restarted gateways are ready within 10 s: real processes that start at the same time and share one core."""

import subprocess
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
from ready import measure  # noqa: E402

GATEWAYS = 8


@pytest.mark.parametrize("servers, known, down_s", [(1024, True, 0), (1024, False, 3), (100, False, 3)])
def test_all_are_ready_in_time_with_an_eighth_of_a_core_each(servers, known, down_s):
    times = measure(GATEWAYS, servers, known, down_s)
    assert len(times) == GATEWAYS and times[-1] < 10, times


def test_the_platform_gateway_does_not_import_what_it_does_not_use():
    loaded = subprocess.run(
        [sys.executable, "-c", "import sys, lapiswing.node.serve; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert not {"prometheus_client", "asyncio"} & set(loaded)


def test_the_first_list_is_evaluated_less_often_with_many_pairs():
    """12 evaluations of 262,000 pairs take 0.7 s of a whole core, or 7 s at a tenth of one, and block the loop."""
    from trace import Play

    refreshes = {}
    for n in (10, 500):
        play = Play(servers=())
        refresh, refreshes[n] = play.router.refresh, []
        play.router.refresh = lambda n=n, refresh=refresh: (refreshes[n].append(1), refresh())
        play.at(10, ("servers", "replace", [play.server(f"r{i}") for i in range(n)] + [play.server(f"w{i}") for i in range(n)]))
    assert len(refreshes[10]) == 12 and len(refreshes[500]) == 2
