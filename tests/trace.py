"""Helpers of the trace tests: a Writer that records decisions as lines of text, and a small fleet."""

import os
from pathlib import Path

from lapiswing.interface import RequestClass, Server
from lapiswing.policy import Router

MS = 1000


class Recorder:
    """A Writer that records each action but timers as one line."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, name):
        def record(*args):
            if name != "timer":
                self.lines.append(" ".join([name, *map(str, args)]))

        return record


class Play:
    """One router and its trace; `at(ms, event...)` runs one round."""

    def __init__(
        self, effect="replayable", scope="all", servers=("r0", "r1", "w2", "w3"), started_us=0, seed=7, listed=True, **changes
    ):
        request_class = RequestClass("chat", effect, scope, 5000 * MS, 1000 * MS, 40 * MS, 60 * MS, 1.0, 0.3)
        settings = {
            "balancers": 2,
            "az": 0,
            "me": 0,
            "resolution_us": 4 * MS,
            "groups": [request_class],
            "tenants": [],
            "over_share_worth": 0.1,
            "worth_by": "work",
            "membership_mode": "automatic",
            "limits": {
                "max_attempts": 6,
                "retry_after": True,
                "max_retry_after_us": 1000 * MS,
                "probes": True,
                "cancel": True,
                "second_copies": True,
            },
            "rules": {
                "cold_from": 0.25,
                "ramp_time_us": 12000 * MS,
                "fall_multiple": 2.5,
                "answer_slack_us": 16 * MS,
                "overload_for_us": 1000 * MS,
                "stop_sending_within_us": 1000 * MS,
            },
            "penalties": {"cross_zone": 0.02},
            "report": {"how": "off", "names": []},
            "family_info": {
                "duty_by_kind": ["read", "write", "both"],
                "kind_memory_tokens": [200000] * 3,
                "far_price": 0.04,
                "let_go_by_us": 500 * MS,
                "resume": False,
            },
        } | changes
        self.router, self.out, self.now = Router(seed, settings, 0), Recorder(), 0
        if listed:
            self.at(0, ("servers", "restored", [self.server(s, started_us) for s in servers]))

    @staticmethod
    def server(name, started_us=0, mode="ready", cell=0):
        """A row of the list; the first letter of the name is the role: r(ead), w(rite) or m(ixed)."""
        return Server(name, 0, cell, "rwm".index(name[0]), 1.0, started_us, mode)

    def at(self, ms, *events):
        self.now = ms
        self.out.lines.append(f"-- {ms} ms: " + "; ".join(" ".join(map(str, e[:4])) for e in events if e[0] != "servers"))
        self.router.round(ms * MS, events, self.out)

    def req(self, rid, tokens=2000, prefix="c:a", expires_ms=5000, tenant=0):
        return ("req", rid, tokens, (self.now + expires_ms) * MS, f"s{rid}", prefix, 1000, 200, None, 0, tenant, 0)

    @staticmethod
    def outcome(rid, number, server, code, ms=100, ended=False, remark=0):
        return ("outcome", rid, number, server, code, ms * MS, ended, remark, None)

    def sent(self, action="forward"):
        """The recorded actions of one kind, each split into words."""
        return [line.split() for line in self.out.lines if line.startswith(action + " ")]


def check(name, play):
    """Compares with the golden trace; WRITE_TRACES=1 rewrites it, to be reviewed before it is committed."""
    golden = Path(__file__).parent / "traces" / f"{name}.txt"
    text = "\n".join(play.out.lines) + "\n"
    if os.environ.get("WRITE_TRACES"):
        golden.write_text(text)
    assert text == golden.read_text()
