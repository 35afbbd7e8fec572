"""Derives findings from a gateway's counters: what is wrong, since when, the evidence and the remedy. No I/O, no clock.

    diagnosis = Diagnosis()
    changes = diagnosis.observe(facts)    # about once a second; -> [("begun" or "over", Finding), ...]
    diagnosis.findings                    # ranked

Facts are a dict of the gateway's own counters, cumulative since its start (see `facts.Facts`); windows and differences are
computed here. A finding opens after its symptom has lasted for some samples and ends after it has been absent for some, so that
one lost answer is no finding. A cause is reported once: symptoms that a wider finding explains become its evidence and are not
reported on their own.

"read" and "write" are the two stages, prefill and decode. The thresholds serve this module only; routing decisions don't use
them."""

from collections import deque
from typing import NamedTuple

MS = 1000  # in microseconds
S = 1_000_000  # in microseconds
WINDOW_SAMPLES, SHORT_WINDOW_SAMPLES = 10, 4  # over which the growth of counters is accepted
OPEN_AFTER_SAMPLES, CLOSE_AFTER_SAMPLES = 2, 4
FAILURE_CODES = ("error", "reset", "unreachable", "timed_out")
NOTICE, WARNING, SERIOUS = 1, 2, 3


class Finding(NamedTuple):
    """A diagnosed problem."""

    kind: str
    subject: str  # a server, a role, a tenant, a source, a disk, or ''
    level: int
    since_us: int
    cause: str
    evidence: str
    remedy: str
    page: str  # anchor in docs/oncall.md

    def key(self):
        """Identifies the finding while it is open."""
        return self.kind, self.subject


class Symptom(NamedTuple):
    """A problem seen in one sample."""

    kind: str
    subject: str
    level: int
    cause: str
    evidence: str
    remedy: str
    immediate: bool = False  # can't be a chance event, so the finding opens with the first sample


REMEDIES = {
    "no box": "start a box of that role, or take back one that drains; until then all such reqs are pushed back",
    "last box": "bring another box of that role up before touching this one",
    "fails fast": "look at that box's log; drain it if it lasts: it fails faster than other boxes answer",
    "silent": "look at that box; restart it if other gateways say the same",
    "unreachable": "check that box's process, its port and the network to it",
    "slow": "look for load or heat on that box; drain it if its answers stay late",
    "answers lost": "look at the network between gateway and boxes; don't drain boxes",
    "readers full": "add readers, or shorten prompts; many pushbacks a minute on all gateways mean too few readers",
    "reader memory": "states wait for writers: look at writers and at moves of states before adding readers",
    "writers full": "add writers; reqs wait for a writer with free capacity",
    "list stale": "`lapiswing check` the boxes file, write it anew and rename it over the old one",
    "clock": "check time synchronisation on this machine; the start times of boxes are judged by this clock",
    "tenant": "talk to the tenant, or cap it for a while: `lapiswing cap TENANT RPS`",
    "holds": "look at the holders named; a release that is not answered is sent again",
    "restarts": "look at the end of that box's log; it ends soon after each start",
    "gateway restarts": "read the end of gateway.log in the state folder; report what it does not explain",
    "records doubted": "look at the name servers and at who writes their records; if the boxes are really gone, wait",
    "records silent": "look at the name servers: `lapiswing dns query NAME PTR --server HOST:PORT`",
    "store": "make room; after any other fault restart the gateway, and `lapiswing store verify` its folder",
    "disk": "delete old logs and records, or make room",
    "overloaded": "more gateways, or a faster machine: this process serves its sockets late",
    "open reqs": "find out why boxes are slow; raise limits.open_reqs only if memory allows",
    "cold": "expect pushbacks for about rules.ramp_ms; restart fewer boxes at a time",
    "draining": "nothing, if it was you; else find out who sent the signal",
    "fault": "a fault of this program: keep the log lines before it and report them",
}


class Diagnosis:
    """Keeps the samples of the window and the open findings."""

    def __init__(self):
        self.samples = deque(maxlen=WINDOW_SAMPLES + 1)
        self.open, self.present_samples, self.absent_samples, self.first_seen_us = {}, {}, {}, {}
        self.acknowledged, self.failure_kinds = set(), {}
        self.now_us = 0

    @property
    def findings(self):
        """The open findings, the most severe first, acknowledged ones last."""
        return sorted(self.open.values(), key=lambda f: (f.key() in self.acknowledged, -f.level, f.since_us, f.key()))

    def acknowledge(self, kind, subject):
        """Ranks a finding behind the others until it is over. Returns False if there is no such finding."""
        if (kind, subject) not in self.open:
            return False
        self.acknowledged.add((kind, subject))
        return True

    def observe(self, facts):
        """Evaluates one sample; returns the findings that have begun or are over."""
        self.now_us = facts["now_us"]
        self.samples.append(facts)
        symptoms = {}
        for symptom in drop_explained(list(self.symptoms(facts)), facts):
            symptoms.setdefault((symptom.kind, symptom.subject), symptom)
        changes = []
        for key, symptom in symptoms.items():
            self.absent_samples.pop(key, None)
            self.first_seen_us.setdefault(key, self.now_us)
            self.present_samples[key] = self.present_samples.get(key, 0) + 1
            previous = self.open.get(key)
            if previous is None and not symptom.immediate and self.present_samples[key] < OPEN_AFTER_SAMPLES:
                continue
            finding = Finding(
                symptom.kind,
                symptom.subject,
                symptom.level,
                self.first_seen_us[key],
                symptom.cause,
                symptom.evidence,
                symptom.remedy,
                symptom.kind.replace(" ", "-"),
            )
            self.open[key] = finding
            if previous is None:
                changes.append(("begun", finding))
        for key in list(self.first_seen_us):
            if key in symptoms:
                continue
            self.absent_samples[key] = self.absent_samples.get(key, 0) + 1
            if key not in self.open or self.absent_samples[key] >= CLOSE_AFTER_SAMPLES:
                for table in (self.first_seen_us, self.present_samples, self.absent_samples):
                    table.pop(key, None)
                finding = self.open.pop(key, None)
                self.acknowledged.discard(key)
                if finding is not None:
                    changes.append(("over", finding))
        return changes

    # ---- symptoms

    def growth(self, *path, samples=WINDOW_SAMPLES):
        """The growth of the counter at `path` over the last samples."""

        def get(facts):
            for name in path:
                facts = facts.get(name) if facts is not None else None
            return facts or 0

        return get(self.samples[-1]) - get(self.samples[-min(samples + 1, len(self.samples))])

    def span_s(self):
        """The time that the window covers, at least 1 s."""
        return max(1.0, (self.samples[-1]["now_us"] - self.samples[0]["now_us"]) / S)

    def symptoms(self, facts):
        """All symptoms in one sample."""
        yield from self.server_symptoms(facts)
        yield from self.role_symptoms(facts)
        yield from self.load_symptoms(facts)
        yield from self.gateway_symptoms(facts)

    def server_symptoms(self, facts):
        """Failures, slowness and restarts of each server."""
        servers = facts["boxes"]
        first_us_by_role = {}
        for server in servers.values():
            if server["first_us"] and server["mode"] == "ready":
                first_us_by_role.setdefault(server["role"], []).append(server["first_us"])
        for name, server in servers.items():
            if server["mode"] == "gone":
                continue
            codes = {code: self.growth("boxes", name, "codes", code) for code in server["codes"]}
            failures = {code: codes.get(code, 0) for code in FAILURE_CODES}
            successes, failed = codes.get("done", 0) + codes.get("read", 0), sum(failures.values())
            recent = {code: self.growth("boxes", name, "codes", code, samples=SHORT_WINDOW_SAMPLES) for code in server["codes"]}
            kind = self.failure_kind(name, server, failures, recent)
            if kind == "unreachable":
                yield Symptom(
                    kind,
                    name,
                    WARNING,
                    "no connection can be made to it",
                    f"{failures['unreachable']} of {successes + failed} attempts in {self.span_s():.0f} s; "
                    f"{'not used by the router' if server['suspect'] else 'still used'}",
                    REMEDIES[kind],
                )
            elif kind == "fails fast":
                yield Symptom(
                    kind,
                    name,
                    WARNING,
                    "it answers with failures",
                    f"{failures['error']} errors and {failures['reset']} resets of {successes + failed} attempts in "
                    f"{self.span_s():.0f} s, after {(server['fail_us'] or 0) / MS:.0f} ms each",
                    REMEDIES[kind],
                )
            elif kind == "silent":
                # The router cancels attempts on a silent server, so many of them end as `cancelled`.
                yield Symptom(
                    kind,
                    name,
                    WARNING,
                    "it accepts attempts and answers none",
                    f"{successes} answers in {self.span_s():.0f} s; {failures['timed_out']} timed out, "
                    f"{codes.get('cancelled', 0)} cancelled, {server['out']} open",
                    REMEDIES[kind],
                )
            others_us = [v for v in first_us_by_role.get(server["role"], []) if v != server["first_us"]]
            if (
                others_us
                and server["first_us"]
                and successes >= 3
                and server["first_us"] > 3 * sorted(others_us)[len(others_us) // 2] + 100 * MS
            ):
                yield Symptom(
                    "slow",
                    name,
                    NOTICE,
                    "its answers begin late",
                    f"{server['first_us'] / MS:.0f} ms to a first token, "
                    f"others of its role {sorted(others_us)[len(others_us) // 2] / MS:.0f}",
                    REMEDIES["slow"],
                )
            starts = server["starts"] - min(past["boxes"].get(name, server)["starts"] for past in self.restart_samples(facts))
            if starts >= 3:
                yield Symptom(
                    "restarts",
                    name,
                    WARNING,
                    "it restarts repeatedly",
                    f"{starts} starts since {self.restart_window(facts)}",
                    REMEDIES["restarts"],
                )

    def failure_kind(self, name, server, failures, recent):
        """How a server fails, or None. At a small site a server gets one request in several seconds, so counts alone would take a
        minute: an ejection by the router counts too. An ejected server that gets no more requests keeps its last kind of
        failure."""
        failed, succeeded = sum(recent.get(code, 0) for code in FAILURE_CODES), recent.get("done", 0) + recent.get("read", 0)
        if not server["suspect"] and (failed < 3 or failed < succeeded):
            self.failure_kinds.pop(name, None)
            return None
        if sum(failures.values()):
            answered = failures["error"] + failures["reset"]
            self.failure_kinds[name] = (
                "unreachable"
                if failures["unreachable"] >= max(1, answered)
                else "fails fast"
                if answered >= failures["timed_out"]
                else "silent"
            )
        return self.failure_kinds.setdefault(name, "silent")

    older_samples = ()

    def restart_samples(self, facts):
        """One sample for each 10 s of the last five minutes. Restarts are rare, so the usual window is too short for them."""
        if not self.older_samples or facts["now_us"] - self.older_samples[-1]["now_us"] >= 10 * S:
            self.older_samples = [*self.older_samples, facts][-30:]
        return self.older_samples

    def restart_window(self, facts):
        """How long ago the oldest of the restart samples was taken, as text."""
        return f"{(facts['now_us'] - self.older_samples[0]['now_us']) / S:.0f} s ago"

    def role_symptoms(self, facts):
        """Roles that have no or few working servers."""
        for role in ("read", "write"):
            listed = {n: b for n, b in facts["boxes"].items() if b["role"] in (role, "both") and b["mode"] != "gone"}
            ready = [n for n, b in listed.items() if b["mode"] == "ready"]
            working = [n for n in ready if not listed[n]["suspect"]]
            drains = {n: b for n, b in listed.items() if b["mode"] == "draining"}
            word = "reader" if role == "read" else "writer"
            drain_reasons = ", ".join(f"{n} drains ({b['why'] or 'list'})" for n, b in list(drains.items())[:3])
            if not listed:
                # Soon after a start the discovery records have not arrived yet.
                pending = any(state == "none" for _, state, _ in facts["records"])
                yield Symptom(
                    "no box", word, SERIOUS, f"no source names a {word}", "no box of that role", REMEDIES["no box"], not pending
                )
            elif not ready:
                cause = f"the only {word} drains" if len(listed) == 1 else f"all {len(listed)} {word}s drain"
                yield Symptom("no box", word, SERIOUS, cause, drain_reasons, REMEDIES["no box"], True)
            elif not working:
                yield Symptom(
                    "no box",
                    word,
                    SERIOUS,
                    f"no {word} works: all that are listed are suspect",
                    ", ".join(ready[:3]),
                    REMEDIES["no box"],
                )
            elif len(working) == 1 and len(listed) > 1:
                rest = [n for n in listed if n not in working]
                yield Symptom(
                    "last box",
                    word,
                    WARNING,
                    f"one of {len(listed)} {word}s works",
                    f"left: {working[0]}; " + (drain_reasons or ", ".join(f"{n} is suspect" for n in rest[:3])),
                    REMEDIES["last box"],
                )
            cold = [n for n in ready if listed[n]["cold"]]
            if len(ready) > 1 and len(cold) * 2 > len(ready):
                yield Symptom(
                    "cold",
                    word,
                    NOTICE,
                    f"{len(cold)} of {len(ready)} {word}s have just started",
                    ", ".join(cold[:3]),
                    REMEDIES["cold"],
                    True,
                )

    def load_symptoms(self, facts):
        """Load shedding, long holds, limits and faults."""
        rejected, accepted = self.growth("counts", "pushed back"), self.growth("counts", "taken")
        shedding = rejected >= 3 and rejected > 0.05 * accepted
        if shedding:
            read_wait_us, write_wait_us = facts["read_wait_us"], facts["write_wait_us"]
            readers = [b for b in facts["boxes"].values() if b["role"] != "write" and b["mode"] == "ready"]
            memory_use = [b["memory"] for b in readers if b["memory"] is not None]
            evidence = (
                f"{rejected} of {accepted} reqs pushed back in {self.span_s():.0f} s; reads take {read_wait_us / MS:.0f} ms, "
                f"waits for a writer {write_wait_us / MS:.0f} ms"
            )
            if memory_use and sum(memory_use) / len(memory_use) > 0.85:
                yield Symptom(
                    "reader memory",
                    "",
                    WARNING,
                    "readers are full of states that wait for their writers",
                    f"{evidence}; memory {100 * sum(memory_use) / len(memory_use):.0f} % full",
                    REMEDIES["reader memory"],
                )
            elif read_wait_us >= write_wait_us:
                yield Symptom("readers full", "", WARNING, "reading can't keep up", evidence, REMEDIES["readers full"])
            else:
                yield Symptom("writers full", "", WARNING, "writing can't keep up", evidence, REMEDIES["writers full"])
        reqs_by_tenant = {
            name: self.growth("tenants", name, "taken") + self.growth("tenants", name, "capped") for name in facts["tenants"]
        }
        total = sum(reqs_by_tenant.values())
        busiest = max(reqs_by_tenant, key=reqs_by_tenant.get, default=None)
        if (
            busiest is not None
            and len([n for n in reqs_by_tenant if reqs_by_tenant[n]]) > 1
            and total >= 30
            and reqs_by_tenant[busiest] > 0.7 * total
            and rejected + self.growth("counts", "capped") >= 3
        ):
            yield Symptom(
                "tenant",
                busiest,
                WARNING,
                "one tenant sends nearly all reqs, while reqs are pushed back",
                f"{reqs_by_tenant[busiest]} of {total} reqs in {self.span_s():.0f} s",
                REMEDIES["tenant"],
            )
        limit_us = facts["hold_limit_us"]
        if facts["oldest_hold_us"] > 0.5 * limit_us:
            yield Symptom(
                "holds",
                "",
                WARNING,
                "a state has been held unused for long",
                f"{facts['oldest_hold_us'] / MS:.0f} ms of {limit_us / MS:.0f}; {facts['holds']} held",
                REMEDIES["holds"],
            )
        if facts["open"] > 0.9 * facts["open_limit"]:
            yield Symptom(
                "open reqs",
                "",
                WARNING,
                "nearly as many reqs are open as are allowed",
                f"{facts['open']} of {facts['open_limit']}",
                REMEDIES["open reqs"],
            )
        lags_us = [f["lag_us"] for f in self.samples]
        if len(lags_us) >= 3 and sorted(lags_us)[len(lags_us) // 2] > 50 * MS:
            yield Symptom(
                "overloaded",
                "",
                WARNING,
                "this gateway serves its sockets late",
                f"median turn of the loop {sorted(lags_us)[len(lags_us) // 2] / MS:.0f} ms",
                REMEDIES["overloaded"],
            )
        if self.growth("counts", "faults") or self.growth("counts", "backstop"):
            yield Symptom(
                "fault",
                "",
                SERIOUS,
                "the router left reqs unanswered, or raised an exception",
                f"{facts['counts'].get('faults', 0)} faults, {facts['counts'].get('backstop', 0)} backstops since the start",
                REMEDIES["fault"],
                True,
            )
        if facts["draining"]:
            yield Symptom("draining", "", NOTICE, "this gateway drains", f"{facts['open']} reqs open", REMEDIES["draining"], True)

    def gateway_symptoms(self, facts):
        """Trouble of the gateway process and its machine, of its configuration, discovery and store."""
        if facts["list_fault"]:
            yield Symptom(
                "list stale",
                "",
                WARNING,
                "the boxes file can't be read; the last valid list stays in use",
                facts["list_fault"][:200],
                REMEDIES["list stale"],
            )
        if len(self.samples) > 1:
            jump_us = max(
                (abs(later["wall_us"] - earlier["wall_us"]) for earlier, later in zip(self.samples, list(self.samples)[1:]))
            )
            if jump_us > S:
                yield Symptom(
                    "clock", "", NOTICE, "this machine's clock jumped", f"by {jump_us / S:.1f} s", REMEDIES["clock"], True
                )
        starts = [ms for ms in facts["starts_unix_ms"] if facts["unix_ms"] - ms < 600_000]
        if len(starts) >= 2:
            is_frequent = len(starts) >= 4
            yield Symptom(
                "gateway restarts",
                "",
                WARNING if is_frequent else NOTICE,
                "this gateway restarts repeatedly" if is_frequent else "this gateway was started again",
                f"{len(starts) - 1} times in the last 10 minutes, last because it {facts['last_end'] or 'was gone'}",
                REMEDIES["gateway restarts"],
                True,
            )
        for source in facts["doubts"]:
            yield Symptom(
                "records doubted",
                source,
                WARNING,
                "a source lost most of its boxes at once; the loss is not applied for now",
                "the boxes that it named before are kept",
                REMEDIES["records doubted"],
                True,
            )
        for source, state, problem in facts["records"]:
            if state != "good":
                yield Symptom(
                    "records silent",
                    source,
                    WARNING,
                    "no name server answers" + ("; the last known records are kept" if state == "stale" else ""),
                    problem or "",
                    REMEDIES["records silent"],
                )
        if facts["store"] and facts["store"][0] != "good":
            yield Symptom(
                "store",
                "",
                SERIOUS,
                "state that must survive a restart can't be written: calls with a key are pushed back",
                f"{facts['store'][0]}: {facts['store'][1]}",
                REMEDIES["store"],
            )
        for path, free in facts["disks"].items():
            if free < 0.05:
                yield Symptom(
                    "disk",
                    path,
                    SERIOUS if free < 0.01 else WARNING,
                    "the disk is nearly full",
                    f"{100 * free:.1f} % free",
                    REMEDIES["disk"],
                )


def drop_explained(symptoms, facts):
    """Leaves out symptoms that a wider one explains. If more than half of the servers fail at once, the likely cause is the
    network and not each server."""
    failing = [s for s in symptoms if s.kind in ("fails fast", "silent", "unreachable")]
    ready = [b for b in facts["boxes"].values() if b["mode"] == "ready"]
    if len(failing) >= 3 and len(failing) * 2 > len(ready):
        names = {s.subject for s in failing}
        yield Symptom(
            "answers lost",
            "",
            SERIOUS,
            "more than half of the boxes fail at once: look for one common cause",
            f"{len(failing)} of {len(ready)}: " + ", ".join(sorted(names)[:4]),
            REMEDIES["answers lost"],
        )
        symptoms = [s for s in symptoms if s not in failing]
    roles_without_server = {s.subject for s in symptoms if s.kind == "no box"}
    for s in symptoms:
        # Without a server of a role all of its requests are rejected, which is not overload.
        if s.kind in ("readers full", "writers full", "reader memory") and roles_without_server:
            continue
        yield s


def verdict(findings, facts):
    """Returns (the highest level, a summary in one line)."""
    servers = facts["boxes"].values()
    parts = []
    for word, roles in (("reader", ("read", "both")), ("writer", ("write", "both"))):
        listed = [b for b in servers if b["role"] in roles and b["mode"] != "gone"]
        draining = [b for b in listed if b["mode"] == "draining"]
        if draining:
            parts.append(f"{len(draining)} of {len(listed)} {word}s drain{'s' if len(draining) == 1 else ''}")
    reported = [f for f in findings if f.level > NOTICE]
    for f in reported[:2]:
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
