"""When servers have started, on this process's monotonic clock. No I/O.

Others tell a start as Unix time. This machine's wall clock may be wrong by any span, and a start that is placed too early
makes a cold server warm, which can bring it down; one that is placed too late only sends it less for one ramp. So what
can't be right falls on the later side:

    in the future                      it has started now
    in a change, and older than the    it has started now: the list that this process had by then did not name it
    last answer of discovery by more
    than a list may be late
    in the first list, which no        the newest start of the list (of those not in the future) may be now; the others are
    earlier one can be held against    as much older as the list says, or as this clock says where that is less

A start once placed stays, whatever becomes of the wall clock and of the server's row."""

from typing import NamedTuple

MS = 1000
# Discovery may know of a start so much later. Could harm by a server that is taken for warmer by this span, where the clock
# is ahead by less.
LATE_US = 1000 * MS
KEPT_OVER = 64  # starts of servers that have left, before those are forgotten


class Placed(NamedTuple):
    since_ms: float
    started_us: int


class ServerStarts:
    def __init__(self, offset_us):
        """`offset_us`: from Unix time to this process's clock, see `loop.wall_clock`."""
        self.offset_us, self.placed, self.answered_us = offset_us, {}, None

    def place(self, sinces, now_us):
        """`sinces`: Unix ms of the last start of each server named in one answer of discovery, 0 for long ago.
        -> the same in us of this process's clock, by name."""
        told = [self.by_clock(since_ms) for since_ms in sinces.values() if since_ms]
        newest_us = max((us for us in told if us <= now_us), default=now_us)
        started = {name: self.start_of(name, since_ms, now_us, newest_us) for name, since_ms in sinces.items()}
        self.answered_us = now_us
        self.forget_others(started)
        return started

    def by_clock(self, since_ms):
        """Negative where it is longer ago than this process's clock goes back. Raises OverflowError on what is no moment."""
        return round(since_ms * MS) + self.offset_us

    def start_of(self, name, since_ms, now_us, newest_us):
        if not since_ms:
            self.placed.pop(name, None)
            return 0
        known = self.placed.get(name)
        if known is None or known.since_ms != since_ms:
            latest_us = self.latest(self.by_clock(since_ms), now_us, newest_us)
            known = self.placed[name] = Placed(since_ms, max(1, latest_us))
        return known.started_us

    def latest(self, started_us, now_us, newest_us):
        """The latest moment at which the start may have been."""
        if started_us > now_us:
            return now_us
        if self.answered_us is None:
            return now_us - (newest_us - started_us)
        return started_us if started_us >= self.answered_us - LATE_US else now_us

    def forget_others(self, named):
        if len(self.placed) > 2 * len(named) + KEPT_OVER:
            self.placed = {name: placed for name, placed in self.placed.items() if name in named}
