"""Which troubles a day has, and when: drawn from the seed. Pure."""

from enum import Enum
from random import Random
from typing import NamedTuple

S = 1_000_000
SHARED = 0.6  # part of the troubles of a burst that strike at the same place
FIRST_S = 2.0  # the fleet is left in peace for so long


class Kind(Enum):
    """What goes wrong."""

    STOP = "a gateway is told to end (SIGTERM), killed 3.7 s later, and started anew"
    STOP_MANY = "a third of the gateways are told to end within half a second, killed 3.7 s later, and started anew"
    LOG_STUCK = "whoever reads the log of a gateway stops reading, without going"
    LOG_GONE = "whoever reads the log of a gateway goes"
    KILL = "a gateway is killed and started anew"
    RELOAD = "a new configuration moves discovery, sometimes twice, sometimes half written at first (SIGHUP)"
    RELOAD_AT_START = "a gateway is killed, started, and told of a new configuration while it loads"
    FREEZE = "a gateway is held up for 0.12 s (SIGSTOP)"
    SERVER_CRASH = "a model server dies, and is back cold under its name after a while"
    SERVER_HANG = "a model server takes requests and answers none"
    SERVER_ERRORS = "a model server answers with errors, refusals and resets"
    SERVER_DRAIN = "a model server drains and stays up"
    SERVER_REPLACED = "a model server is taken off the list, another joins"
    LINK_HOLD = "connections to a model server fall silent, without an error"
    LINK_RESET = "connections to a model server are reset, again and again"
    LINK_DEAF = "connections to a model server never come up, and open ones go on"
    DISCOVERY_SILENT = "all discovery agents fall silent"
    DISCOVERY_GARBAGE = "all discovery agents answer with what can't be read"
    WATCH_LOST = "open watches are forgotten, without an error"
    CROWD = "hundreds of connections that say nothing or half a request"
    ERRNO = "system calls of a gateway fail for a moment"
    CLOCK = "a gateway is killed and started with a wall clock that is wrong by seconds or an hour"


class Trouble(NamedTuple):
    at_us: int
    lasts_us: int
    kind: Kind
    target: int  # of gateways or servers, as the kind has it; taken modulo their number
    draw: float  # for the details of the kind


def draw(seed, seconds):
    """-> Troubles in order of time: bursts of two to four that overlap, and a quiet time before the end."""
    chance, troubles, at = Random(seed), [], FIRST_S
    while at < seconds - 4:
        shared = chance.randrange(1 << 16)  # troubles of one gateway, or of one server, cross more often
        for _ in range(chance.choice((2, 3, 3, 4))):
            begin = at + chance.uniform(0, 0.8)
            troubles.append(
                Trouble(
                    int(begin * S),
                    int(chance.uniform(0.4, 2.5) * S),
                    chance.choice(list(Kind)),
                    shared if chance.random() < SHARED else chance.randrange(1 << 16),
                    chance.random(),
                )
            )
        at += chance.uniform(1.2, 2.5)
    return sorted(troubles, key=lambda trouble: trouble.at_us)
