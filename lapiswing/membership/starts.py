"""Converts the start times of servers to this process's monotonic clock. No I/O.

Others report a start as Unix time. This machine's wall clock may be wrong by any amount. A start that is converted too early
makes a cold server look warm, which can overload it; one that is too late only sends it less traffic for one slow start. So
implausible times are moved to the later side:

    in the future                      taken as now
    in a change, and older than the    taken as now: the list that this process had then did not name the server
    last answer of discovery by more
    than a list may be late
    in the first list, which can't be  the newest start of the list (except those in the future) may be now; the others are
    compared with an earlier one       older by as much as the list says, or as this clock says if that is less

A converted start is kept, whatever happens to the wall clock and to the server's row."""

from typing import NamedTuple

MS = 1000
# Discovery may report a start this much later. If the wall clock is ahead by less than that, a server may be taken for warmer
# than it is by up to this time.
LIST_DELAY_US = 1000 * MS
MAX_STALE_STARTS = 64  # starts of servers that have left, beyond the number of servers listed


class ServerStart(NamedTuple):
    """A reported start and its converted time."""

    since_ms: float
    started_us: int


class ServerStarts:
    """Converted starts of all listed servers."""

    def __init__(self, offset_us):
        """`offset_us`: difference between this process's clock and Unix time, see `loop.wall_clock`."""
        self.offset_us, self.known, self.last_list_us = offset_us, {}, None

    def convert(self, sinces, now_us):
        """`sinces`: Unix ms of the last start of each server in one answer of discovery, 0 if long ago. -> the same in us of
        this process's clock, by name."""
        starts_us = [self.to_clock_us(since_ms) for since_ms in sinces.values() if since_ms]
        newest_us = max((us for us in starts_us if us <= now_us), default=now_us)
        started = {name: self.start_of(name, since_ms, now_us, newest_us) for name, since_ms in sinces.items()}
        self.last_list_us = now_us
        self.forget_others(started)
        return started

    def to_clock_us(self, since_ms):
        """-> us of this process's clock; negative for times before its zero. Raises ValueError or OverflowError on nan or inf."""
        return round(since_ms * MS) + self.offset_us

    def start_of(self, name, since_ms, now_us, newest_us):
        """-> the converted start of one server, which is kept."""
        if not since_ms:
            self.known.pop(name, None)
            return 0
        known = self.known.get(name)
        if known is None or known.since_ms != since_ms:
            start_us = self.latest_start(self.to_clock_us(since_ms), now_us, newest_us)
            known = self.known[name] = ServerStart(since_ms, max(1, start_us))
        return known.started_us

    def latest_start(self, started_us, now_us, newest_us):
        """-> the latest time at which the server may have started."""
        if started_us > now_us:
            return now_us
        if self.last_list_us is None:
            return now_us - (newest_us - started_us)
        return started_us if started_us >= self.last_list_us - LIST_DELAY_US else now_us

    def forget_others(self, named):
        """Drops old entries if there are many of servers that are not listed."""
        if len(self.known) > 2 * len(named) + MAX_STALE_STARTS:
            self.known = {name: start for name, start in self.known.items() if name in named}
