"""What a copy on the fleet link costs, idle, as copies grow: the deciding part under a simulated clock and network."""

from typing import NamedTuple

from benchmarks.fleet import idle


class LinkCost(NamedTuple):
    copies: int
    bytes_a_second: float
    messages_a_second: float
    core: float
    busiest_start: int  # messages of the busiest copy in the 40 s after all start within one


def slope(sizes):
    return [LinkCost(copies, *idle(copies)) for copies in sizes]
