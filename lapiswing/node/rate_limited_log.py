"""Limits the rate of the log, because its output counts as memory on the platform."""

BURST_LINES, LINES_PER_S = 200, 5  # of all events together
BURST_LINES_OF_EVENT, LINES_PER_S_OF_EVENT = 50, 2  # so that one frequent event leaves lines to the others


class TokenBucket:
    """Allows a burst, then a steady rate."""

    def __init__(self, burst, per_s, now_us):
        self.burst, self.per_s, self.tokens, self.refilled_us = burst, per_s, burst, now_us

    def refill(self, now_us):
        """-> whether a token is there."""
        self.tokens = min(self.burst, self.tokens + (now_us - self.refilled_us) * self.per_s / 1e6)
        self.refilled_us = now_us
        return self.tokens >= 1

    def take(self):
        """Uses one token."""
        self.tokens -= 1


class RateLimitedLog:
    """Passes lines on to `log` while both the event and all events together are within their limits. The names of events are
    constants of the program, so the number of buckets is bounded."""

    def __init__(self, log, clock):
        self.log, self.clock, self.by_event = log, clock, {}
        self.all_events = TokenBucket(BURST_LINES, LINES_PER_S, clock.now_us())

    def may_log(self, event):
        """-> whether a line of this event is within the limits; counts it if so."""
        now_us = self.clock.now_us()
        bucket = self.by_event.get(event)
        if bucket is None:
            bucket = self.by_event[event] = TokenBucket(BURST_LINES_OF_EVENT, LINES_PER_S_OF_EVENT, now_us)
        if not (bucket.refill(now_us) and self.all_events.refill(now_us)):
            return False
        bucket.take()
        self.all_events.take()
        return True

    def info(self, event, **fields):
        if self.may_log(event):
            self.log.info(event, **fields)

    def warning(self, event, **fields):
        if self.may_log(event):
            self.log.warning(event, **fields)

    def error(self, event, **fields):
        if self.may_log(event):
            self.log.error(event, **fields)
