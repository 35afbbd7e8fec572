"""The machine's wall clock, read in one place. It may be stepped at any time, so no span is ever taken between two of its
readings: a moment that another machine or an earlier process has told is turned into this process's monotonic time once,
by `offset_us` as of the process's begin."""

import time


def unix_us():
    return time.time_ns() // 1000


def offset_us(clock):
    """What is added to a Unix time in us to have the time of `clock`, as this machine's wall clock shows it now."""
    return clock.now_us() - unix_us()
