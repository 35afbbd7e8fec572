"""Simulates all Routers of a small fleet under each fault."""

import pytest

from benchmarks.scale.fleet import FleetFault, ScaleFleet

# With all servers cold at once, they start at a quarter of their speed, and a prompt that alone overloads one is rejected.
MIN_IN_TIME, MIN_LONG_IN_TIME = {FleetFault.POWER: 0.3}, {FleetFault.POWER: 0.33}


@pytest.mark.parametrize("fault", FleetFault)
def test_a_small_fleet_keeps_serving(fault):
    served = ScaleFleet(1, 16, 48, fault, 12).run().served()
    assert served.asked > 300
    assert served.in_time > MIN_IN_TIME.get(fault, 0.75), served
    assert (
        served.long_in_time > MIN_LONG_IN_TIME.get(fault, 0.5) * served.in_time
        and served.small_tenants_in_time > 0.8 * served.in_time
    )
    assert served.cold_worst <= 1.0


def test_a_fleet_with_grouped_servers_keeps_serving_after_losing_a_zone():
    fleet = ScaleFleet(1, 10, 300, FleetFault.ZONE, 10, requests_a_gateway=30.0).run()
    assert all(router.table.racks_per_group for router in fleet.routers)
    served = fleet.served()
    assert served.in_time > 0.8 and served.cold_worst <= 1.0, served
    assert served.in_rack > 0.5  # prompt state is transferred within its rack


def test_the_same_seed_gives_the_same_result():
    results = [ScaleFleet(3, 6, 24, "machine", 9).run().served() for _ in range(2)]
    assert results[0] == results[1]


def test_silent_servers_answer_nothing():
    """Guards against a model that reports success whatever happens: with all servers silent, nothing is answered."""
    fleet = ScaleFleet(1, 4, 24, "none", 8)
    for server in fleet.servers.values():
        server.silent = True
    assert fleet.run().served().answered == 0
