"""Cost of an idle member of the fleet link by number of members, under a simulated clock and network."""

from typing import NamedTuple

from benchmarks.fleet import idle


class LinkCost(NamedTuple):
    """Traffic and processor time of one member."""

    copies: int
    bytes_a_second: float
    messages_a_second: float
    core: float
    busiest_start: int  # messages of the busiest member in the 40 s after all start within one second


def slope(sizes):
    """-> a LinkCost for each number of members."""
    return [LinkCost(copies, *idle(copies)) for copies in sizes]
