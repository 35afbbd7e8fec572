"""Observations -> findings: what is wrong, since when, why that is thought, what to do. No I/O, no clock.

    diagnosis = Diagnosis()
    news = diagnosis.look(facts)          # about once a second; -> [("begun" or "over", Finding), ...]
    diagnosis.findings                    # ranked

Facts are a dict of the gateway's own counters, cumulative since its start, see `facts.Facts`; windows and differences are made
here. A finding opens after its signs have stood for some looks and ends after they have been gone for some, so that one lost answer is
no news. One cause is told once: what a wider finding explains is counted there as evidence, not told beside it.

The signs are figures of this module's own; nothing that decides about reqs reads them."""

from collections import deque
from typing import NamedTuple

MS = 1000
S = 1_000_000
WINDOW, SHORT = 10, 4  # looks over which counters are compared
OPEN_AFTER, OVER_AFTER = 2, 4  # looks
FAILS = ("error", "reset", "unreachable", "timed_out")
NOTICE, WARNING, SERIOUS = 1, 2, 3


class Finding(NamedTuple):
    kind: str
    subject: str  # a box, a tenant, or ''
    level: int
    since_us: int
    cause: str
    evidence: str
    do: str
    page: str  # anchor in docs/oncall.md

    def key(self):
        return self.kind, self.subject


class Sign(NamedTuple):
    """What one look says."""

    kind: str
    subject: str
    level: int
    cause: str
    evidence: str
    do: str
    at_once: bool = False  # no luck can make it, so it is told at the first look


DO = {
    "no box": "start a box of that role, or take one back that drains; until then all such reqs are pushed back",
    "last box": "bring another box of that role up before touching this one",
    "fails fast": "look at that box's log; drain it if it lasts: it fails faster than the others work",
    "silent": "look at that box; restart it if other gateways say the same",
    "unreachable": "check that box's process, its port and the network to it",
    "slow": "look for load or heat on that box; drain it if its answers stay late",
    "answers lost": "look at the network between gateway and boxes; don't drain boxes",
    "readers full": "add readers, or shorten prompts; many a minute on all gateways means too little of them",
    "reader memory": "states wait for writers: look at writers and at moves of states before adding readers",
    "writers full": "add writers; answers wait for a place to be written",
    "list stale": "`lapiswing check` the boxes file, write it anew and rename it over the old one",
    "clock": "check time synchronisation on this machine; start times of boxes are read by it",
    "tenant": "talk to the tenant, or cap it for a while: `lapiswing cap TENANT RPS`",
    "holds": "look at the holders named; a release that is not answered is sent again",
    "restarts": "look at that box's last words; it dies soon after it is started",
    "gateway restarts": "read its last words in the state folder's gateway.log; report what it does not explain",
    "records doubted": "look at the name servers and at who writes their records; if the boxes are truly gone, wait",
    "records silent": "look at the name servers: `lapiswing dns query NAME PTR --server HOST:PORT`",
    "store": "make room; after any other fault restart the gateway, and `lapiswing store verify` its folder",
    "disk": "delete old logs and records, or make room",
    "overloaded": "more gateways, or a faster machine: this process is late for its own sockets",
    "open reqs": "look why boxes are slow; raise limits.open_reqs only if memory allows",
    "cold": "expect pushbacks for about a ramp time; restart fewer boxes at a time",
    "draining": "nothing, if it was you; else find out who sent the signal",
    "fault": "a fault of this program: keep the log lines before it and report them",
}


class Diagnosis:
    def __init__(self):
        self.past = deque(maxlen=WINDOW + 1)
        self.open, self.seen, self.gone, self.first = {}, {}, {}, {}
        self.acknowledged, self.kinds = set(), {}
        self.now_us = 0

    @property
    def findings(self):
        return sorted(self.open.values(), key=lambda f: (f.key() in self.acknowledged, -f.level, f.since_us, f.key()))

    def acknowledge(self, kind, subject):
        """-> False: there is no such finding. It stays listed, behind the others, until it is over."""
        if (kind, subject) not in self.open:
            return False
        self.acknowledged.add((kind, subject))
        return True

    def look(self, facts):
        self.now_us = facts["now_us"]
        self.past.append(facts)
        signs = {}
        for sign in quiet(list(self.signs(facts)), facts):
            signs.setdefault((sign.kind, sign.subject), sign)
        news = []
        for key, sign in signs.items():
            self.gone.pop(key, None)
            self.first.setdefault(key, self.now_us)
            self.seen[key] = self.seen.get(key, 0) + 1
            old = self.open.get(key)
            if old is None and not sign.at_once and self.seen[key] < OPEN_AFTER:
                continue
            found = Finding(
                sign.kind,
                sign.subject,
                sign.level,
                self.first[key],
                sign.cause,
                sign.evidence,
                sign.do,
                sign.kind.replace(" ", "-"),
            )
            self.open[key] = found
            if old is None:
                news.append(("begun", found))
        for key in list(self.first):
            if key in signs:
                continue
            self.gone[key] = self.gone.get(key, 0) + 1
            if key not in self.open or self.gone[key] >= OVER_AFTER:
                for store in (self.first, self.seen, self.gone):
                    store.pop(key, None)
                found = self.open.pop(key, None)
                self.acknowledged.discard(key)
                if found is not None:
                    news.append(("over", found))
        return news

    # ---- signs

    def since(self, *path, looks=WINDOW):
        """A counter's growth over the last looks."""

        def get(facts):
            for name in path:
                facts = facts.get(name) if facts is not None else None
            return facts or 0

        return get(self.past[-1]) - get(self.past[-min(looks + 1, len(self.past))])

    def span_s(self):
        return max(1.0, (self.past[-1]["now_us"] - self.past[0]["now_us"]) / S)

    def signs(self, facts):
        yield from self.of_boxes(facts)
        yield from self.of_roles(facts)
        yield from self.of_load(facts)
        yield from self.of_place(facts)

    def of_boxes(self, facts):
        boxes = facts["boxes"]
        usual = {}
        for box in boxes.values():
            if box["first_us"] and box["mode"] == "ready":
                usual.setdefault(box["role"], []).append(box["first_us"])
        for name, box in boxes.items():
            if box["mode"] == "gone":
                continue
            codes = {c: self.since("boxes", name, "codes", c) for c in box["codes"]}
            fails = {c: codes.get(c, 0) for c in FAILS}
            good, bad = codes.get("done", 0) + codes.get("read", 0), sum(fails.values())
            lately = {c: self.since("boxes", name, "codes", c, looks=SHORT) for c in box["codes"]}
            kind = self.kind_of(name, box, fails, lately)
            if kind == "unreachable":
                yield Sign(
                    kind,
                    name,
                    WARNING,
                    "no connection can be made to it",
                    f"{fails['unreachable']} of {good + bad} forwards in {self.span_s():.0f} s; "
                    f"{'left out by the decisions' if box['suspect'] else 'still tried'}",
                    DO[kind],
                )
            elif kind == "fails fast":
                yield Sign(
                    kind,
                    name,
                    WARNING,
                    "it answers with failures",
                    f"{fails['error']} errors and {fails['reset']} resets of {good + bad} forwards in "
                    f"{self.span_s():.0f} s, after {(box['fail_us'] or 0) / MS:.0f} ms each",
                    DO[kind],
                )
            elif kind == "silent":
                # The decisions take forwards back from a box that is silent, so many of them end as cancelled.
                yield Sign(
                    kind,
                    name,
                    WARNING,
                    "it takes forwards and answers none",
                    f"{good} answers in {self.span_s():.0f} s; {fails['timed_out']} timed out, "
                    f"{codes.get('cancelled', 0)} taken back, {box['out']} out",
                    DO[kind],
                )
            others = [v for v in usual.get(box["role"], []) if v != box["first_us"]]
            if others and box["first_us"] and good >= 3 and box["first_us"] > 3 * sorted(others)[len(others) // 2] + 100 * MS:
                yield Sign(
                    "slow",
                    name,
                    NOTICE,
                    "its answers begin late",
                    f"{box['first_us'] / MS:.0f} ms to a first token, others of its role {sorted(others)[len(others) // 2] / MS:.0f}",
                    DO["slow"],
                )
            starts = box["starts"] - min(f["boxes"].get(name, box)["starts"] for f in self.long_past(facts))
            if starts >= 3:
                yield Sign(
                    "restarts",
                    name,
                    WARNING,
                    "it is started again and again",
                    f"{starts} starts since {self.ago(facts)}",
                    DO["restarts"],
                )

    def kind_of(self, name, box, fails, lately):
        """How a box fails, or None. At a small site a box gets a req in some seconds, so counts alone would take a minute:
        the decisions' own suspicion counts too. A suspect that gets nothing any more still fails the way it did."""
        bad, well = sum(lately.get(c, 0) for c in FAILS), lately.get("done", 0) + lately.get("read", 0)
        if not box["suspect"] and (bad < 3 or bad < well):
            self.kinds.pop(name, None)
            return None
        if sum(fails.values()):
            fast = fails["error"] + fails["reset"]
            self.kinds[name] = (
                "unreachable"
                if fails["unreachable"] >= max(1, fast)
                else "fails fast"
                if fast >= fails["timed_out"]
                else "silent"
            )
        return self.kinds.setdefault(name, "silent")

    older = ()

    def long_past(self, facts):
        """A few looks of the last five minutes: restarts are rare."""
        if not self.older or facts["now_us"] - self.older[-1]["now_us"] >= 10 * S:
            self.older = [*self.older, facts][-30:]
        return self.older

    def ago(self, facts):
        return f"{(facts['now_us'] - self.older[0]['now_us']) / S:.0f} s ago"

    def of_roles(self, facts):
        for role in ("read", "write"):
            have = {n: b for n, b in facts["boxes"].items() if b["role"] in (role, "both") and b["mode"] != "gone"}
            ready = [n for n, b in have.items() if b["mode"] == "ready"]
            well = [n for n in ready if not have[n]["suspect"]]
            drains = {n: b for n, b in have.items() if b["mode"] == "draining"}
            word = "reader" if role == "read" else "writer"
            who = ", ".join(f"{n} drains ({b['why'] or 'list'})" for n, b in list(drains.items())[:3])
            if not have:
                # At a start the records are not in yet.
                soon = any(state == "none" for _, state, _ in facts["records"])
                yield Sign("no box", word, SERIOUS, f"no source names a {word}", "no box of that role", DO["no box"], not soon)
            elif not ready:
                cause = f"the only {word} drains" if len(have) == 1 else f"all {len(have)} {word}s drain"
                yield Sign("no box", word, SERIOUS, cause, who, DO["no box"], True)
            elif not well:
                yield Sign(
                    "no box",
                    word,
                    SERIOUS,
                    f"no {word} works: all that are listed are suspect",
                    ", ".join(ready[:3]),
                    DO["no box"],
                )
            elif len(well) == 1 and len(have) > 1:
                rest = [n for n in have if n not in well]
                yield Sign(
                    "last box",
                    word,
                    WARNING,
                    f"one of {len(have)} {word}s works",
                    f"left: {well[0]}; " + (who or ", ".join(f"{n} is suspect" for n in rest[:3])),
                    DO["last box"],
                )
            cold = [n for n in ready if have[n]["cold"]]
            if len(ready) > 1 and len(cold) * 2 > len(ready):
                yield Sign(
                    "cold",
                    word,
                    NOTICE,
                    f"{len(cold)} of {len(ready)} {word}s have just started",
                    ", ".join(cold[:3]),
                    DO["cold"],
                    True,
                )

    def of_load(self, facts):
        pushed, taken = self.since("counts", "pushed back"), self.since("counts", "taken")
        shedding = pushed >= 3 and pushed > 0.05 * taken
        if shedding:
            reads, writes = facts["read_wait_us"], facts["write_wait_us"]
            readers = [b for b in facts["boxes"].values() if b["role"] != "write" and b["mode"] == "ready"]
            full = [b["memory"] for b in readers if b["memory"] is not None]
            evidence = (
                f"{pushed} of {taken} reqs pushed back in {self.span_s():.0f} s; reads take {reads / MS:.0f} ms, "
                f"waits for a writer {writes / MS:.0f} ms"
            )
            if full and sum(full) / len(full) > 0.85:
                yield Sign(
                    "reader memory",
                    "",
                    WARNING,
                    "readers are full of states that wait for their writers",
                    f"{evidence}; memory {100 * sum(full) / len(full):.0f} % full",
                    DO["reader memory"],
                )
            elif reads >= writes:
                yield Sign("readers full", "", WARNING, "reading can't keep up", evidence, DO["readers full"])
            else:
                yield Sign("writers full", "", WARNING, "writing can't keep up", evidence, DO["writers full"])
        by = {name: self.since("tenants", name, "taken") + self.since("tenants", name, "capped") for name in facts["tenants"]}
        total = sum(by.values())
        most = max(by, key=by.get, default=None)
        if (
            most is not None
            and len([n for n in by if by[n]]) > 1
            and total >= 30
            and by[most] > 0.7 * total
            and pushed + self.since("counts", "capped") >= 3
        ):
            yield Sign(
                "tenant",
                most,
                WARNING,
                "one tenant takes nearly all, while reqs are pushed back",
                f"{by[most]} of {total} reqs in {self.span_s():.0f} s",
                DO["tenant"],
            )
        limit = facts["hold_limit_us"]
        if facts["oldest_hold_us"] > 0.5 * limit:
            yield Sign(
                "holds",
                "",
                WARNING,
                "a state is held unused for long",
                f"{facts['oldest_hold_us'] / MS:.0f} ms of {limit / MS:.0f}; {facts['holds']} held",
                DO["holds"],
            )
        if facts["open"] > 0.9 * facts["open_limit"]:
            yield Sign(
                "open reqs",
                "",
                WARNING,
                "nearly as many reqs are open as are allowed",
                f"{facts['open']} of {facts['open_limit']}",
                DO["open reqs"],
            )
        lags = [f["lag_us"] for f in self.past]
        if len(lags) >= 3 and sorted(lags)[len(lags) // 2] > 50 * MS:
            yield Sign(
                "overloaded",
                "",
                WARNING,
                "this gateway is late for its own sockets",
                f"turns of {sorted(lags)[len(lags) // 2] / MS:.0f} ms",
                DO["overloaded"],
            )
        if self.since("counts", "faults") or self.since("counts", "backstop"):
            yield Sign(
                "fault",
                "",
                SERIOUS,
                "the decisions left reqs unanswered, or raised an exception",
                f"{facts['counts'].get('faults', 0)} faults, {facts['counts'].get('backstop', 0)} backstops since the start",
                DO["fault"],
                True,
            )
        if facts["draining"]:
            yield Sign("draining", "", NOTICE, "this gateway drains", f"{facts['open']} reqs open", DO["draining"], True)

    def of_place(self, facts):
        if facts["list_fault"]:
            yield Sign(
                "list stale",
                "",
                WARNING,
                "the boxes file can't be read; the last good list stands",
                facts["list_fault"][:200],
                DO["list stale"],
            )
        if len(self.past) > 1:
            jump = max((abs(b["wall_us"] - a["wall_us"]) for a, b in zip(self.past, list(self.past)[1:])))
            if jump > S:
                yield Sign("clock", "", NOTICE, "this machine's clock jumped", f"by {jump / S:.1f} s", DO["clock"], True)
        starts = [ms for ms in facts["starts_unix_ms"] if facts["unix_ms"] - ms < 600_000]
        if len(starts) >= 2:
            often = len(starts) >= 4
            yield Sign(
                "gateway restarts",
                "",
                WARNING if often else NOTICE,
                "this gateway is started again and again" if often else "this gateway was started again",
                f"{len(starts) - 1} times in the last 10 minutes, last because it {facts['last_end'] or 'was gone'}",
                DO["gateway restarts"],
                True,
            )
        for source in facts["doubts"]:
            yield Sign(
                "records doubted",
                source,
                WARNING,
                "a source lost most of its boxes at once, and is not believed for now",
                "what it named before stands",
                DO["records doubted"],
                True,
            )
        for source, state, problem in facts["records"]:
            if state != "good":
                yield Sign(
                    "records silent",
                    source,
                    WARNING,
                    "no name server answers" + ("; what was last known stands" if state == "stale" else ""),
                    problem or "",
                    DO["records silent"],
                )
        if facts["store"] and facts["store"][0] != "good":
            yield Sign(
                "store",
                "",
                SERIOUS,
                "what must outlive a restart can't be written: calls with a key are pushed back",
                f"{facts['store'][0]}: {facts['store'][1]}",
                DO["store"],
            )
        for name, free in facts["disks"].items():
            if free < 0.05:
                yield Sign(
                    "disk",
                    name,
                    SERIOUS if free < 0.01 else WARNING,
                    "the disk is nearly full",
                    f"{100 * free:.1f} % free",
                    DO["disk"],
                )


def quiet(signs, facts):
    """Leaves out what a wider finding explains. Answers that get lost at most boxes at once are the network's, not theirs."""
    failing = [s for s in signs if s.kind in ("fails fast", "silent", "unreachable")]
    ready = [b for b in facts["boxes"].values() if b["mode"] == "ready"]
    if len(failing) >= 3 and len(failing) * 2 > len(ready):
        names = {s.subject for s in failing}
        yield Sign(
            "answers lost",
            "",
            SERIOUS,
            "more than half of the boxes look bad at once: look for one cause",
            f"{len(failing)} of {len(ready)}: " + ", ".join(sorted(names)[:4]),
            DO["answers lost"],
        )
        signs = [s for s in signs if s not in failing]
    without = {s.subject for s in signs if s.kind == "no box"}
    for s in signs:
        # With no box of a role all of its reqs are pushed back: that is no load.
        if s.kind in ("readers full", "writers full", "reader memory") and without:
            continue
        yield s


def verdict(findings, facts):
    """-> (level, one plain line)."""
    boxes = facts["boxes"].values()
    parts = []
    for word, roles in (("reader", ("read", "both")), ("writer", ("write", "both"))):
        have = [b for b in boxes if b["role"] in roles and b["mode"] != "gone"]
        bad = [b for b in have if b["mode"] == "draining"]
        if bad:
            parts.append(f"{len(bad)} of {len(have)} {word}s drain{'s' if len(bad) == 1 else ''}")
    told = [f for f in findings if f.level > NOTICE]
    for f in told[:2]:
        if f.kind not in ("no box", "last box") or not parts:
            parts.append(f"{f.subject + ': ' if f.subject else ''}{f.cause}")
    if facts["holds"] and facts["oldest_hold_us"] > 100 * MS:
        parts.append(f"{facts['holds']} req{'s' * (facts['holds'] != 1)} held, oldest {facts['oldest_hold_us'] // MS} ms")
    if facts["first_p50_ms"] is not None:
        parts.append(f"first tokens after {facts['first_p50_ms'] / 1000:.2g} s (slow ones {facts['first_p99_ms'] / 1000:.2g} s)")
    level = max((f.level for f in findings), default=0)
    if level < WARNING:
        parts.insert(0, "All well" if not level else "Well, with a notice")
    return level, "; ".join(parts) + "."
