"""Whose slice is next, and whether there is time for one at all. No I/O, no clock.

A job has a priority (1 goes first), a share of time that it may take over a while, bytes a second that it may move, and maybe a time
by which it should be done. All together may take `BUDGET_US` of a turn of the loop; when the loop's own work makes turns long, less,
down to nothing. What has waited for `STARVED_US` gets a slice all the same: a low priority is late, never forgotten."""

MS = 1000
BUDGET_US = 300
CALM_US, LONG_US = 5 * MS, 25 * MS  # turns up to the one leave the whole budget, from the other on none
STARVED_US = 2_000 * MS
SPAN_US = 1_000 * MS  # over which shares are kept


class Job:
    __slots__ = (
        "name",
        "priority",
        "share",
        "bytes_s",
        "due_us",
        "added_us",
        "ran_us",
        "left_us",
        "left_bytes",
        "at_us",
        "slices",
        "spent_us",
        "moved",
    )

    def __init__(self, name, priority, now_us, share=1.0, bytes_s=None, due_us=None):
        self.name, self.priority, self.share, self.bytes_s, self.due_us = name, priority, share, bytes_s, due_us
        self.added_us = self.ran_us = self.at_us = now_us
        self.left_us, self.left_bytes = share * SPAN_US, float(bytes_s or 0)
        self.slices = self.spent_us = self.moved = 0

    def refill(self, now_us):
        past = now_us - self.at_us
        self.at_us = now_us
        self.left_us = min(self.share * SPAN_US, self.left_us + past * self.share)
        if self.bytes_s:
            self.left_bytes = min(float(self.bytes_s), self.left_bytes + past * self.bytes_s / 1e6)

    def may(self):
        return self.left_us > 0 and (not self.bytes_s or self.left_bytes > 0)


def budget_us(turn_us):
    """How much of this turn background work may take, when the loop's own work in it took `turn_us`."""
    if turn_us <= CALM_US:
        return BUDGET_US
    return max(0, BUDGET_US * (LONG_US - turn_us) // (LONG_US - CALM_US))


def choose(jobs, now_us, left_us):
    """-> the job whose slice is next, or None. `left_us` of the turn's budget are left."""
    for job in jobs:
        job.refill(now_us)
    starved = [j for j in jobs if now_us - j.ran_us >= STARVED_US]
    if starved:
        return min(starved, key=lambda j: (j.ran_us, j.priority))
    if left_us <= 0:
        return None
    ready = [j for j in jobs if j.may()]
    # One that would be late goes first, the earliest due before the others.
    late = [j for j in ready if j.due_us is not None and now_us >= j.due_us - SPAN_US]
    if late:
        return min(late, key=lambda j: j.due_us)
    return min(ready, key=lambda j: (j.priority, j.ran_us), default=None)


def ran(job, now_us, took_us, moved):
    """A slice of it took so long, and moved so many bytes."""
    job.ran_us = now_us
    job.left_us -= took_us
    job.left_bytes -= moved
    job.slices += 1
    job.spent_us += took_us
    job.moved += moved


def next_look_us(jobs, now_us):
    """When none may run now: how long until one may, so that the loop need not turn for nothing."""
    waits = [
        max(
            0 if j.left_us > 0 else -j.left_us / j.share,
            0 if not j.bytes_s or j.left_bytes > 0 else -j.left_bytes / j.bytes_s * 1e6,
        )
        for j in jobs
    ]
    return max(1000, min(int(min(waits, default=SPAN_US)) + 1000, 50_000))
