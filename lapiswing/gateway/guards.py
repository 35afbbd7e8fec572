"""Run-time checks of what the standing rules forbid, one for each of sending, starting, repeating and closing. They are
independent of the decisions: each knows only what the host has seen. A check that fails counts, is logged, and keeps the
attempt from being sent. It is no part of any decision: a count other than zero is a fault found."""

from dataclasses import dataclass, field
from enum import Enum

MS = 1000
CLOCK_US = 2 * MS  # between the decisions' clock and this look at it
NEVER_RAN = ("full", "unreachable", "no_way", "moot")  # outcomes that prove it


class Check(Enum):
    """What is looked at."""

    SENDING = "to a server that has been told to drain or to be gone for longer than the grace"
    STARTING = "for a call that has ended, has begun to be answered, or is past its time"
    REPEATING = "again, though an earlier attempt may have had its effect, or is out where second copies are off"
    CLOSING = "a call without a final answer"


@dataclass
class Ran:
    """An attempt that may have had its effect."""

    number: int
    sent_us: int
    place: tuple  # (zone, cell) of its server


@dataclass
class History:
    """What the checks keep of one call."""

    ran: list = field(default_factory=list)
    out: set = field(default_factory=set)


class Guards:
    def __init__(self, facts, grace_us, second_copies, log):
        """`facts`: the request classes; `grace_us`: how long a drained server may be sent something new."""
        self.facts, self.grace_us, self.second_copies, self.log = facts, grace_us, second_copies, log
        self.counts = {check: 0 for check in Check}
        self.count_only = False  # for a lab whose own judge has to see what goes wrong
        self.off_us = {}  # server -> since when the list says that it drains or is gone

    def listed(self, rows, now_us):
        """Rows of the list as the decisions are told them."""
        for row in rows:
            if row.mode == "ready":
                self.off_us.pop(row.id, None)
            else:
                self.off_us.setdefault(row.id, now_us)

    def gone(self, servers, now_us):
        """Servers that a whole list does not name any more."""
        for server in servers:
            self.off_us.setdefault(server, now_us)

    def may_send(self, call, history, group, server, place, has_effect, now_us):
        """Whether the attempt may be sent: `call` has `over`, `answering_no` and `expires_us`; `place`: zone and cell of the server."""
        if now_us - self.off_us.get(server, now_us) > self.grace_us:
            return self.stop(Check.SENDING, call, server)
        if call.over or call.answering_no is not None or now_us >= call.expires_us:
            return self.stop(Check.STARTING, call, server)
        if history.out and not self.second_copies:
            return self.stop(Check.REPEATING, call, server)
        if has_effect and not self.may_repeat(history, self.facts[group], place, now_us):
            return self.stop(Check.REPEATING, call, server)
        return True

    @staticmethod
    def may_repeat(history, fact, place, now_us):
        if fact.effect == "replayable" or not history.ran:
            return True
        scope = {"zone": 1, "cell": 2}.get(fact.repeat_scope, 0)  # how much of the place has to be the same
        return fact.effect == "keyed" and all(
            now_us - ran.sent_us <= fact.repeat_window_us + CLOCK_US and ran.place[:scope] == place[:scope] for ran in history.ran
        )

    def sent(self, history, number, place, has_effect, now_us):
        history.out.add(number)
        if has_effect:
            history.ran.append(Ran(number, now_us, place))

    @staticmethod
    def ended(history, number, code):
        history.out.discard(number)
        if code in NEVER_RAN:
            history.ran = [ran for ran in history.ran if ran.number != number]

    def check_closed(self, calls):
        """The host ends: no call may be open."""
        for call in calls:
            if not call.over:
                self.stop(Check.CLOSING, call, None)

    def stop(self, check, call, server):
        """Counts and logs. -> whether the attempt goes on all the same."""
        self.counts[check] += 1
        self.log.error("guard", check=check.name.lower(), why=check.value, call=call.rid, server=server)
        return self.count_only

    @property
    def total(self):
        return sum(self.counts.values())
