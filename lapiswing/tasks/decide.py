"""Decides which job runs its next slice, and whether there is time for one. No I/O, no clock.

A job has a priority (1 goes first), a share of time that it may use, a limit of bytes per second that it may move, and optionally
a time by which it should be done. All jobs together may use TURN_BUDGET_US of a turn of the loop, and less, down to nothing, when
the loop's own work makes its turns long. A job that has waited for MAX_WAIT_US gets a slice in any case, so that no job
starves."""

MS = 1000
TURN_BUDGET_US = 300  # for all jobs together
SHORT_TURN_US, LONG_TURN_US = 5 * MS, 25 * MS  # up to the first the whole budget is available, from the second on none
MAX_WAIT_US = 2_000 * MS  # between two slices of a job
SHARE_WINDOW_US = 1_000 * MS  # over which shares of time are enforced


class Job:
    """Limits and consumption of one background task. Shares and bytes are token buckets."""

    __slots__ = (
        "name",
        "priority",
        "share",
        "bytes_per_s",
        "due_us",
        "added_us",
        "last_run_us",
        "share_left_us",
        "bytes_left",
        "refilled_us",
        "slices",
        "spent_us",
        "moved_bytes",
    )

    def __init__(self, name, priority, now_us, share=1.0, bytes_per_s=None, due_us=None):
        self.name, self.priority, self.share, self.bytes_per_s, self.due_us = name, priority, share, bytes_per_s, due_us
        self.added_us = self.last_run_us = self.refilled_us = now_us
        self.share_left_us, self.bytes_left = share * SHARE_WINDOW_US, float(bytes_per_s or 0)
        self.slices = self.spent_us = self.moved_bytes = 0

    def refill(self, now_us):
        """Adds the share and bytes earned since the last call."""
        elapsed_us = now_us - self.refilled_us
        self.refilled_us = now_us
        self.share_left_us = min(self.share * SHARE_WINDOW_US, self.share_left_us + elapsed_us * self.share)
        if self.bytes_per_s:
            self.bytes_left = min(float(self.bytes_per_s), self.bytes_left + elapsed_us * self.bytes_per_s / 1e6)

    def can_run(self):
        """Whether it has time and bytes left."""
        return self.share_left_us > 0 and (not self.bytes_per_s or self.bytes_left > 0)


def budget_us(turn_us):
    """Time for background work in a turn whose own work took `turn_us`."""
    if turn_us <= SHORT_TURN_US:
        return TURN_BUDGET_US
    return max(0, TURN_BUDGET_US * (LONG_TURN_US - turn_us) // (LONG_TURN_US - SHORT_TURN_US))


def choose_job(jobs, now_us, left_us):
    """The job that runs its next slice, or None. `left_us`: what is left of the turn's budget."""
    for job in jobs:
        job.refill(now_us)
    starved = [job for job in jobs if now_us - job.last_run_us >= MAX_WAIT_US]
    if starved:
        return min(starved, key=lambda job: (job.last_run_us, job.priority))
    if left_us <= 0:
        return None
    ready = [job for job in jobs if job.can_run()]
    # Jobs that are due soon go first, the earliest due before the others.
    due_soon = [job for job in ready if job.due_us is not None and now_us >= job.due_us - SHARE_WINDOW_US]
    if due_soon:
        return min(due_soon, key=lambda job: job.due_us)
    return min(ready, key=lambda job: (job.priority, job.last_run_us), default=None)


def record_slice(job, now_us, took_us, moved_bytes):
    """Accounts for a slice that took `took_us` and moved `moved_bytes` bytes."""
    job.last_run_us = now_us
    job.share_left_us -= took_us
    job.bytes_left -= moved_bytes
    job.slices += 1
    job.spent_us += took_us
    job.moved_bytes += moved_bytes


def next_check_us(jobs, now_us):
    """If no job may run now, the time until one may, so that the loop can sleep until then."""
    waits = [
        max(
            0 if job.share_left_us > 0 else -job.share_left_us / job.share,
            0 if not job.bytes_per_s or job.bytes_left > 0 else -job.bytes_left / job.bytes_per_s * 1e6,
        )
        for job in jobs
    ]
    return max(1000, min(int(min(waits, default=SHARE_WINDOW_US)) + 1000, 50_000))
