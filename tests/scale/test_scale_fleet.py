"""All Routers of a small fleet in simulated time, under each of the target's faults."""

import pytest

from benchmarks.scale.fleet import FleetFault, ScaleFleet

# All servers cold at once: they can do a quarter at first, and a prompt that alone overloads one is refused.
LEAST_IN_TIME, LEAST_LONG = {FleetFault.POWER: 0.3}, {FleetFault.POWER: 0.33}


@pytest.mark.parametrize("fault", FleetFault)
def test_a_small_fleet_serves_on(fault):
    served = ScaleFleet(1, 16, 48, fault, 12).play().served()
    assert served.asked > 300
    assert served.in_time > LEAST_IN_TIME.get(fault, 0.75), served
    assert (
        served.long_in_time > LEAST_LONG.get(fault, 0.5) * served.in_time and served.small_tenants_in_time > 0.8 * served.in_time
    )
    assert served.cold_worst <= 1.0


def test_a_fleet_whose_servers_share_rows_serves_on_over_a_zone_s_loss():
    fleet = ScaleFleet(1, 10, 300, FleetFault.ZONE, 10, requests_a_gateway=30.0).play()
    assert all(router.table.racks_per_group for router in fleet.routers)
    served = fleet.served()
    assert served.in_time > 0.8 and served.cold_worst <= 1.0, served
    assert served.in_rack > 0.5  # what is handed over stays near


def test_the_same_seed_is_the_same_play():
    plays = [ScaleFleet(3, 6, 24, "machine", 9).play().served() for _ in range(2)]
    assert plays[0] == plays[1]


def test_what_is_not_sent_is_not_served():
    """The model can fail: with all servers silent nothing is in time."""
    fleet = ScaleFleet(1, 4, 24, "none", 8)
    for server in fleet.servers.values():
        server.silent = True
    assert fleet.play().served().answered == 0
