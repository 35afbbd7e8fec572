"""Time in whole microseconds. All processes of a machine read the same monotonic clock, so that their records can be compared."""

import time


class Clock:
    """The monotonic clock."""

    def now_us(self):
        return time.monotonic_ns() // 1000


class ManualClock:
    """A clock that only moves by `advance`. A loop on it waits for sockets only, and jumps to the next timer when nothing else
    is to be done (`Loop.run_until`)."""

    def __init__(self, now_us=1_000_000):
        self.now = now_us

    def now_us(self):
        return self.now

    def advance(self, us):
        self.now += us
