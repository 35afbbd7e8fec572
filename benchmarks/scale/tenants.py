"""What one gateway makes of a tenant's share where that tenant comes through few gateways.

A share is divided evenly over gateways. A tenant that asks for exactly its whole share, through so many gateways as are
named, is counted as over its share from some request on."""

from typing import NamedTuple

from benchmarks.scale.router_cost import Play
from benchmarks.scale.settings import S
from benchmarks.scale.target import TARGET

TENANT = 0
SERVERS = 64  # the share does not depend on them


class TenantShare(NamedTuple):
    gateways_used: int
    asked: int
    over: int  # of these, counted as over the share
    first_over: int  # the number of the first one, 0: none
    share_a_second: float  # at one gateway


def measure(gateways_used, hours=0.5):
    play = Play(SERVERS, 1, requests_a_second=1e-9)
    share = TARGET.requests / TARGET.tenants
    over, first, asked = 0, 0, 0
    every_us = int(S * gateways_used / share)
    real = play.router.read

    def look(request):
        nonlocal over, first, asked
        asked += 1
        over += request.over_quota
        if request.over_quota and not first:
            first = asked
        real(request)

    play.router.read = look
    for number in range(int(hours * 3600 * S / every_us)):
        play.run(every_us / S)
        event = list(play.request())
        event[10] = TENANT
        play.round("request", tuple(event))
    return TenantShare(gateways_used, asked, over, first, play.router.quota[TENANT])
