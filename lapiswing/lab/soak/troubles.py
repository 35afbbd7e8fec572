"""Draws the faults ("troubles") of a day and their times from the seed. Pure functions."""

from enum import Enum
from random import Random
from typing import NamedTuple

S = 1_000_000  # microseconds per second
SAME_TARGET_SHARE = 0.6  # share of the troubles of a burst that have the same target
FIRST_TROUBLE_S = 2.0  # start of the first burst


class Kind(Enum):
    """Kinds of trouble. The lower-case name of a kind is the name of the DayRunner method that applies it."""

    STOP = "a gateway is told to end (SIGTERM), killed at the earliest, and started anew"
    STOP_MANY = "a third of the gateways are told to end within half a second, killed at the earliest, and started anew"
    LOG_STUCK = "whoever reads the log of a gateway stops reading, without going"
    LOG_GONE = "whoever reads the log of a gateway goes"
    KILL = "a gateway is killed and started anew"
    RELOAD = "a new configuration moves discovery, sometimes twice, sometimes half written at first (SIGHUP)"
    RELOAD_AT_START = "a gateway is killed, started, and told of a new configuration while it loads"
    SIGNAL_SERIES = "a gateway gets SIGHUP and SIGTERM in a quick series, is killed at the earliest, and started anew"
    FREEZE = "a gateway is held up for 0.12 s (SIGSTOP)"
    SERVER_CRASH = "a model server dies, and is back cold under its name after a while"
    SERVER_HANG = "a model server takes requests and answers none"
    SERVER_ERRORS = "a model server answers with errors, refusals and resets"
    STREAMS_SPOILT = "streams of a model server are spoilt: noise, wrong or huge chunks, comments or parts of events without end"
    STREAMS_SLOW = "streams of a model server pause, also in the middle of a chunk"
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
    """One fault to inject."""

    at_us: int  # since the start of the day
    duration_us: int
    kind: Kind
    target: int  # index of a gateway or server, depending on the kind; taken modulo their number
    variant: float  # in [0, 1): selects details of the kind


def draw(seed, seconds):
    """Returns the day's troubles in order of time: overlapping bursts of two to four; none begins in the last three seconds."""
    rng, troubles, at_s = Random(seed), [], FIRST_TROUBLE_S
    while at_s < seconds - 4:
        shared_target = rng.randrange(1 << 16)  # makes troubles of the same gateway or server coincide more often
        for _ in range(rng.choice((2, 3, 3, 4))):
            begin_s = at_s + rng.uniform(0, 0.8)
            troubles.append(
                Trouble(
                    int(begin_s * S),
                    int(rng.uniform(0.4, 2.5) * S),
                    rng.choice(list(Kind)),
                    shared_target if rng.random() < SAME_TARGET_SHARE else rng.randrange(1 << 16),
                    rng.random(),
                )
            )
        at_s += rng.uniform(1.2, 2.5)
    return sorted(troubles, key=lambda trouble: trouble.at_us)
