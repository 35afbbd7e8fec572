"""When a process that ended is started again. No I/O, no clock.

Exit 0 is an end that was asked for; 2 says that its settings are bad, which a start can't mend; all else is a death. After a death the
pause grows with the deaths of the last minutes, so that a gateway that dies at once does not take the machine's time from what
else runs there, and one that ran for long is back at once."""

PAUSES_MS = (200, 500, 1000, 2000, 5000, 10_000, 30_000)
CALM_MS = 60_000  # of running, after which earlier deaths no longer count
BAD_SETTINGS = 2


class Restarts:
    def __init__(self):
        self.deaths, self.started_ms, self.state, self.due_ms, self.why = 0, None, "new", None, None

    def start(self, now_ms):
        self.started_ms, self.state, self.due_ms = now_ms, "running", None

    def ended(self, now_ms, code):
        """`code`: as subprocess tells it, negative for a signal. -> the new state: 'asked', 'bad settings' or 'waits'."""
        if code == 0:
            self.state, self.why = "asked", "ended as asked"
        elif code == BAD_SETTINGS:
            self.state, self.why = "bad settings", "its settings are bad"
        else:
            if self.started_ms is not None and now_ms - self.started_ms >= CALM_MS:
                self.deaths = 0
            self.why = f"killed by signal {-code}" if code < 0 else f"ended with {code}"
            self.due_ms = now_ms + PAUSES_MS[min(self.deaths, len(PAUSES_MS) - 1)]
            self.deaths += 1
            self.state = "waits"
        return self.state

    def settings_changed(self, now_ms):
        """-> whether it may start now, which bad settings have held up."""
        if self.state == "bad settings":
            self.state, self.due_ms = "waits", now_ms
            return True
        return False

    def due(self, now_ms):
        return self.state == "waits" and now_ms >= self.due_ms
