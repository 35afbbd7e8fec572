"""How one gateway judges the share of a tenant that uses few gateways.

A share is divided evenly over all gateways. A tenant that requests exactly its share, but through fewer gateways than there
are, is counted as over its share from some request on."""

from typing import NamedTuple

from benchmarks.scale.router_cost import Play
from benchmarks.scale.settings import S
from benchmarks.scale.target import TARGET

TENANT = 0
SERVERS = 64  # the share does not depend on this number


class TenantShare(NamedTuple):
    """Requests of one tenant at one gateway, and how many were over its share."""

    gateways_used: int
    asked: int
    over: int  # of these, counted as over the share
    first_over: int  # number of the first such request; 0: none
    share_a_second: float  # share of the tenant at one gateway


def measure(gateways_used, hours=0.5):
    """Simulates one gateway of a tenant that spreads its full share evenly over `gateways_used`."""
    play = Play(SERVERS, 1, requests_per_s=1e-9)
    share = TARGET.requests / TARGET.tenants
    over, first, asked = 0, 0, 0
    interval_us = int(S * gateways_used / share)
    original_read = play.router.read

    def counting_read(request):
        nonlocal over, first, asked
        asked += 1
        over += request.over_quota
        if request.over_quota and not first:
            first = asked
        original_read(request)

    play.router.read = counting_read
    for _ in range(int(hours * 3600 * S / interval_us)):
        play.run(interval_us / S)
        event = list(play.request())
        event[10] = TENANT
        play.round("request", tuple(event))
    return TenantShare(gateways_used, asked, over, first, play.router.quota[TENANT])
