"""Decides when a process that ended is restarted. No I/O, no clock.

Exit status 0 is a requested end. Exit status 2 means that the settings are invalid, which a restart can't fix. Anything else is a
failure. The delay before a restart grows with the number of recent failures, so that a gateway that fails at start does not take
processor time from other programs on the machine; a gateway that had run for long is restarted almost at once."""

RESTART_DELAYS_MS = (200, 500, 1000, 2000, 5000, 10_000, 30_000)
STABLE_AFTER_MS = 60_000  # a run of at least this length resets the count of failures
EXIT_INVALID_SETTINGS = 2


class Restarts:
    """The restart state of one process."""

    def __init__(self):
        self.failures, self.started_ms, self.state, self.due_ms, self.reason = 0, None, "new", None, None

    def start(self, now_ms):
        """Records that the process was started."""
        self.started_ms, self.state, self.due_ms = now_ms, "running", None

    def ended(self, now_ms, code):
        """Records the end of the process.

        Returns the new state: 'asked' (the end was requested), 'bad settings' or 'waits' (for a restart).
        `code`: the return code as subprocess reports it, negative for a signal."""
        if code == 0:
            self.state, self.reason = "asked", "ended as requested"
        elif code == EXIT_INVALID_SETTINGS:
            self.state, self.reason = "bad settings", "found its settings invalid"
        else:
            if self.started_ms is not None and now_ms - self.started_ms >= STABLE_AFTER_MS:
                self.failures = 0
            self.reason = f"killed by signal {-code}" if code < 0 else f"exited with status {code}"
            self.due_ms = now_ms + RESTART_DELAYS_MS[min(self.failures, len(RESTART_DELAYS_MS) - 1)]
            self.failures += 1
            self.state = "waits"
        return self.state

    def settings_changed(self, now_ms):
        """Returns whether this makes the process due for a start, which is so if invalid settings prevented one."""
        if self.state == "bad settings":
            self.state, self.due_ms = "waits", now_ms
            return True
        return False

    def due(self, now_ms):
        """Whether it is time for a restart."""
        return self.state == "waits" and now_ms >= self.due_ms
