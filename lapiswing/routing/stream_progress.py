"""Whether a stream that has begun still brings what its client is owed. No I/O."""

US_PER_MS = 1000
# The platform's clients are owed an end 5 s after the last event; a gateway may be held up by 0.15 s before and behind its timer.
PLATFORM_MAX_SILENCE_MS = 4700


class StreamProgress:
    """The progress of one stream. Only whole events count: comments, empty blocks, parts of an event and framing may go on for
    ever without bringing the answer on. Time in which this side does not read, because the client takes no more, does not
    count as silence."""

    __slots__ = ("events", "last_event_us", "silent_before_pause_us")

    def __init__(self, now_us):
        self.events, self.last_event_us, self.silent_before_pause_us = 0, now_us, None

    def record_events(self, events, now_us):
        """Takes the number of whole events that have come so far."""
        if events > self.events:
            self.events, self.last_event_us = events, now_us
            if self.silent_before_pause_us is not None:
                self.silent_before_pause_us = 0

    def pause(self, now_us):
        """From now on nothing is read."""
        self.silent_before_pause_us = self.silent_us(now_us)

    def resume(self, now_us):
        """It is read again."""
        self.last_event_us, self.silent_before_pause_us = now_us - self.silent_us(now_us), None

    def silent_us(self, now_us):
        """-> for how long it has been read without bringing an event."""
        return now_us - self.last_event_us if self.silent_before_pause_us is None else self.silent_before_pause_us
