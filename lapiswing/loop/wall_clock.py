"""The machine's wall clock. It may be stepped at any time, so durations are never computed from two of its readings: a time
reported by another machine or a previous process is converted once to this process's monotonic time, with the `offset_us`
determined when the process started."""

import time


def unix_us():
    """-> the current Unix time in us."""
    return time.time_ns() // 1000


def offset_us(clock):
    """-> what must be added to a Unix time in us to get the time of `clock`, by the wall clock's current reading."""
    return clock.now_us() - unix_us()
