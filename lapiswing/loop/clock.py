"""Time in whole microseconds. All processes of one machine read the same monotonic clock, so that records of
several processes can be laid side by side."""

import time


class Clock:
    def now_us(self):
        return time.monotonic_ns() // 1000


class ManualClock:
    """A clock that moves only when told to. A loop on it waits for sockets only and jumps to the next timer
    when there is nothing else to do (`Loop.run_until`)."""

    def __init__(self, now_us=1_000_000):
        self.now = now_us

    def now_us(self):
        return self.now

    def advance(self, us):
        self.now += us
