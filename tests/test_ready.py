"""Nine in ten restarted gateways are ready within 10 s: real processes that start at once and share one core."""

import subprocess
import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))
from ready import measure  # noqa: E402

GATEWAYS = 8


@pytest.mark.parametrize("servers, known, down_s", [(1024, True, 0), (1024, False, 3), (100, False, 3)])
def test_all_are_ready_in_time_at_an_eighth_of_a_core(servers, known, down_s):
    times = measure(GATEWAYS, servers, known, down_s)
    assert len(times) == GATEWAYS and times[-1] < 10, times


def test_a_gateway_of_the_platform_does_not_load_what_it_does_not_serve():
    loaded = subprocess.run(
        [sys.executable, "-c", "import sys, lapiswing.node.serve; print(*sys.modules)"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert not {"prometheus_client", "asyncio"} & set(loaded)


def test_the_first_list_costs_no_more_where_pairs_are_many():
    """Seen: 12 looks at 262,000 pairs held the loop for 0.7 s of a core, seven at a tenth of one."""
    from trace import Play

    looks = {}
    for n in (10, 500):
        play = Play(servers=())
        refresh, looks[n] = play.router.refresh, []
        play.router.refresh = lambda n=n, refresh=refresh: (looks[n].append(1), refresh())
        play.at(10, ("servers", "replace", [play.server(f"r{i}") for i in range(n)] + [play.server(f"w{i}") for i in range(n)]))
    assert len(looks[10]) == 12 and len(looks[500]) == 2
