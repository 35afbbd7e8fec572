"""Run-time checks that the router obeys its rules on sending, starting, repeating and closing. They are independent of the
router and use only what the host has seen. A violation is counted, logged, and keeps the attempt from being sent. No decision
relies on these checks: a count above zero means a fault in the router."""

from dataclasses import dataclass, field
from enum import Enum

MS = 1000
CLOCK_TOLERANCE_US = 2 * MS  # between the router's reading of the clock and the check's
NEVER_RAN = ("full", "unreachable", "no_way", "moot")  # outcomes that prove that the attempt never ran


class Check(Enum):
    """The rules that are checked, with the text that is logged for a violation."""

    SENDING = "to a server that has been told to drain or to be gone for longer than the grace"
    STARTING = "for a call that has ended, has begun to be answered, or is past its time"
    REPEATING = "again, though an earlier attempt may have had its effect, or is out where second copies are off"
    CLOSING = "a call without a final answer"


@dataclass
class EffectiveAttempt:
    """An attempt that may have had its effect on a server."""

    number: int
    sent_us: int
    location: tuple  # (zone, cell) of the server


@dataclass
class History:
    """The attempts of one request, as far as the checks need them."""

    may_have_run: list = field(default_factory=list)
    in_progress: set = field(default_factory=set)


class Guards:
    """Holds the checks and their counts."""

    def __init__(self, request_classes, grace_us, second_copies, log):
        """`grace_us`: how long a server that drains or is gone may still be sent attempts; `second_copies`: whether a request
        may have several attempts in progress."""
        self.request_classes, self.grace_us, self.second_copies, self.log = request_classes, grace_us, second_copies, log
        self.counts = {check: 0 for check in Check}
        self.count_only = (
            False  # counts and logs violations, but sends the attempt; for test set-ups that look for violations themselves
        )
        self.unavailable_since_us = {}  # server -> since when the list has it as draining or gone

    def update_list(self, rows, now_us):
        """Takes rows of the server list, as the router gets them."""
        for row in rows:
            if row.mode == "ready":
                self.unavailable_since_us.pop(row.id, None)
            else:
                self.unavailable_since_us.setdefault(row.id, now_us)

    def mark_gone(self, servers, now_us):
        """Takes servers that are missing from a whole list."""
        for server in servers:
            self.unavailable_since_us.setdefault(server, now_us)

    def may_send(self, req, history, class_index, server, location, has_effect, now_us):
        """Whether an attempt may be sent now. Of `req`, `over`, `answering_no`, `expires_us` and `rid` are used; `location` is
        the zone and cell of the server."""
        if now_us - self.unavailable_since_us.get(server, now_us) > self.grace_us:
            return self.violation(Check.SENDING, req, server)
        if req.over or req.answering_no is not None or now_us >= req.expires_us:
            return self.violation(Check.STARTING, req, server)
        if history.in_progress and not self.second_copies:
            return self.violation(Check.REPEATING, req, server)
        if has_effect and not self.may_repeat(history, self.request_classes[class_index], location, now_us):
            return self.violation(Check.REPEATING, req, server)
        return True

    @staticmethod
    def may_repeat(history, request_class, location, now_us):
        """Whether an attempt with an effect may follow those in `history`."""
        if request_class.effect == "replayable" or not history.may_have_run:
            return True
        scope = {"zone": 1, "cell": 2}.get(request_class.repeat_scope, 0)  # how many parts of the location have to match
        return request_class.effect == "keyed" and all(
            now_us - attempt.sent_us <= request_class.repeat_window_us + CLOCK_TOLERANCE_US
            and attempt.location[:scope] == location[:scope]
            for attempt in history.may_have_run
        )

    def attempt_sent(self, history, number, location, has_effect, now_us):
        """Records an attempt."""
        history.in_progress.add(number)
        if has_effect:
            history.may_have_run.append(EffectiveAttempt(number, now_us, location))

    @staticmethod
    def attempt_ended(history, number, code):
        """Records the outcome of an attempt."""
        history.in_progress.discard(number)
        if code in NEVER_RAN:
            history.may_have_run = [attempt for attempt in history.may_have_run if attempt.number != number]

    def check_closed(self, reqs):
        """Checks as the host ends that no request is open."""
        for req in reqs:
            if not req.over:
                self.violation(Check.CLOSING, req, None)

    def violation(self, check, req, server):
        """Counts and logs a violation. Returns whether the attempt is sent nevertheless."""
        self.counts[check] += 1
        self.log.error("guard", check=check.name.lower(), why=check.value, call=req.rid, server=server)
        return self.count_only

    @property
    def total(self):
        """The number of violations."""
        return sum(self.counts.values())
