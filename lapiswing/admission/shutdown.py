"""Until when a gateway of the platform that has been told to end serves the connections that are open. No I/O."""

US_PER_MS = 1000
# The platform kills a process no earlier than its longest deadline, counted as 3 s at most, plus 0.7 s after SIGTERM.
MAX_COUNTED_DEADLINE_US, KILL_AFTER_DEADLINE_US = 3000 * US_PER_MS, 700 * US_PER_MS
MAX_KEEP_ALIVE_US = 2500 * US_PER_MS
LAST_ANSWERS_US = 500 * US_PER_MS  # before the kill: for the answers to what came last


def earliest_kill_us(deadlines_us):
    """-> how long after SIGTERM the process may be killed, by the deadlines of all request classes. None: not known."""
    counted_us = [MAX_COUNTED_DEADLINE_US if us is None else min(us, MAX_COUNTED_DEADLINE_US) for us in deadlines_us]
    return max(counted_us) + KILL_AFTER_DEADLINE_US


def keep_alive_us(deadlines_us):
    """-> how long after SIGTERM open connections may be used. A request that comes on one that is still open at the kill gets
    no answer."""
    return min(MAX_KEEP_ALIVE_US, max(0, earliest_kill_us(deadlines_us) - LAST_ANSWERS_US))
