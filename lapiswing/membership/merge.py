"""Merges what all sources say about the servers: which ones exist and which may get new requests. No I/O, no clock.

Sources: the list (settings and boxes file), records (SRV, DNS-SD; any number of sources, each with a name), each server's own
report that it drains, and the operator. Rules of precedence:

    draining           from any source. A server's own report ends when it reports otherwise, when the list or its record names it
                       with a later start, or when no source names it any more; an operator's drain ends when the operator cancels
                       it, or when no source names the server any more.
    gone               the list's GONE takes precedence over records that still name the server.
    kind, zone, cell, size   the list's, otherwise those of the first source by name. A record that changes a server's kind
                       without a later start is ignored, as a server does not change its role while it runs.
    start              the latest that any source reports: a cold server that is taken for a warm one would be overloaded.

A server that records no longer name gets no new requests at once (draining) and is gone after `gone_us`. A source that loses more
than half of its servers (at least 3) within `suspicion_us` is suspected for that long, as wrong records must not empty the pool;
servers that a suspected source names as draining drain all the same. A server that appears and disappears more than `MAX_FLAPS`
times in `flap_us` is kept draining for that long. Of new servers in records `ADMIT_BURST` are admitted at once and
`ADMIT_PER_S` a second after that, alternating between kinds and zones, so that a flood of records does not add one kind alone.

Times are the caller's microseconds. `reason_of` and `explain` give the reason for each server's state."""

from typing import NamedTuple

MS = 1000
S = 1_000_000
MAX_FLAPS = 3
ADMIT_BURST, ADMIT_PER_S = 40, 40  # new servers from records
MAX_SERVERS = 2000  # of all sources together


class Limits(NamedTuple):
    """Times and the number of servers, see the module's description."""

    gone_us: int = 10 * S
    suspicion_us: int = 30 * S
    flap_us: int = 60 * S
    max_servers: int = MAX_SERVERS


class Source:
    """One source of records."""

    def __init__(self):
        self.rows = {}  # the servers that it names now
        self.lost = {}  # server that it no longer names -> (when that began, its last row)
        self.suspected_since_us = None
        self.size_before = 0  # number of servers it named before it became suspected
        self.kinds = {}  # server -> (kind, start) as reported first


class Membership:
    """The merged list. `published` is what was last passed on to the router: {server: row}."""

    def __init__(self, limits=Limits()):
        self.limits = limits
        self.listed, self.reported_drains, self.operator_drains, self.published = {}, set(), set(), {}
        self.sources, self.admitted, self.admission_tokens, self.tokens_refilled_us = {}, set(), float(ADMIT_BURST), 0
        self.appearances_us, self.held_back_until_us, self.reasons, self.now_us = {}, {}, {}, 0
        self.counts = {"vanished": 0, "doubted": 0, "held back": 0, "flaps": 0, "kinds not believed": 0}

    # ---- input from the sources

    def update_list(self, rows, now_us=None):
        """Takes the whole list. -> the event for the router, or None if nothing changes."""
        rows = {row.id: row for row in rows}
        self.listed = rows
        return self.update(now_us, first=not self.published)

    def update_records(self, source, rows, now_us):
        """Takes all servers that a source of records names now, as rows with mode ready or draining. -> event or None."""
        first = source not in self.sources
        state = self.sources.setdefault(source, Source())
        new = {row.id: row for row in rows}
        for name, row in list(new.items()):
            kind, start = state.kinds.get(name, (row.kind, row.started_us))
            if row.kind != kind and row.started_us <= start:
                self.counts["kinds not believed"] += 1
                new[name] = row._replace(kind=kind)
            else:
                state.kinds[name] = row.kind, max(start, row.started_us)
        gone = [n for n in state.rows if n not in new]
        for name in gone:
            state.lost[name] = now_us, state.rows[name]
            self.counts["vanished"] += 1
        for name in new:
            if name in state.lost:
                self.record_appearance(name, now_us)
                del state.lost[name]
        if not first:
            recently_lost = [n for n, (since_us, _) in state.lost.items() if now_us - since_us < self.limits.suspicion_us]
            size = len(new) + len(recently_lost)
            if state.suspected_since_us is None and len(recently_lost) >= 3 and len(recently_lost) * 2 > size:
                state.suspected_since_us, state.size_before = now_us, size
                self.counts["doubted"] += 1
            elif state.suspected_since_us is not None and len(new) * 2 >= state.size_before:
                state.suspected_since_us = None  # at least half of them are back
        state.rows = new
        return self.update(now_us)

    def record_appearance(self, name, now_us):
        """A server that had disappeared is named again."""
        times = [t for t in self.appearances_us.get(name, ()) if now_us - t < self.limits.flap_us] + [now_us]
        self.appearances_us[name] = times
        if len(times) > MAX_FLAPS:
            self.counts["flaps"] += 1
            self.held_back_until_us[name] = now_us + self.limits.flap_us

    def set_reported_draining(self, name, draining, now_us=None):
        """Takes a server's own report. -> event or None."""
        if name not in self.published or draining == (name in self.reported_drains):
            return None
        (self.reported_drains.add if draining else self.reported_drains.discard)(name)
        return self.update(now_us)

    def set_operator_draining(self, name, draining, now_us=None):
        """Takes an operator's request. -> event or None. Raises KeyError if the server does not exist."""
        if name not in self.published:
            raise KeyError(name)
        (self.operator_drains.add if draining else self.operator_drains.discard)(name)
        return self.update(now_us)

    def tick(self, now_us):
        """Applies what only depends on time: vanished servers are gone, suspicion ends, more are admitted. -> event or None."""
        return self.update(now_us)

    # ---- merging

    def merge(self):
        """-> {server: row}; sets `reasons`."""
        now, limits, reasons = self.now_us, self.limits, {}
        statements = {}  # server -> [(source, row, mode, reason)]
        for name, row in self.listed.items():
            statements.setdefault(name, []).append(("list", row, row.mode, None))
        for source in sorted(self.sources):
            state = self.sources[source]
            suspected = state.suspected_since_us is not None and now < state.suspected_since_us + limits.suspicion_us
            for name, row in state.rows.items():
                statements.setdefault(name, []).append((source, row, row.mode, None))
            for name, (since_us, row) in list(state.lost.items()):
                if suspected:
                    statements.setdefault(name, []).append(
                        (source, row, row.mode, f"{source} no longer names it, but is suspected to be wrong")
                    )
                elif now < since_us + limits.gone_us:
                    statements.setdefault(name, []).append((source, row, "draining", f"{source} no longer names it"))
                else:
                    del state.lost[name]
            if state.suspected_since_us is not None and not suspected:
                state.suspected_since_us = None
        out = {}
        for name, stated in statements.items():
            # The list first, then the sources by name; those that still name the server before those that do not.
            stated.sort(key=lambda statement: (statement[0] != "list", statement[3] is not None, statement[0]))
            row = stated[0][1]._replace(started_us=max(statement[1].started_us for statement in stated))
            naming = [statement for statement in stated if statement[3] is None]
            draining = [statement for statement in naming if statement[2] == "draining"] or (
                [statement for statement in stated if statement[2] == "draining"] if not naming else []
            )
            if stated[0][0] == "list" and stated[0][2] == "gone":
                mode, why = "gone", "list"
            elif name in self.operator_drains:
                mode, why = "draining", "operator"
            elif name in self.reported_drains:
                mode, why = "draining", "box"
            elif draining:
                mode, why = "draining", draining[0][3] or draining[0][0]
            elif now < self.held_back_until_us.get(name, 0) and stated[0][0] != "list":
                mode, why = "draining", "flapping"
            else:
                mode, why = "ready", stated[0][3]
            out[name], reasons[name] = row._replace(mode=mode), why
        self.reasons = reasons
        return self.admit(out)

    def admit(self, rows):
        """Removes new servers that only records name, except for those admitted so far, and admits a few more."""
        self.admitted &= rows.keys()
        new = [n for n in rows if n not in self.listed and n not in self.admitted]
        if new:
            self.admission_tokens = min(
                float(ADMIT_BURST), self.admission_tokens + max(0, self.now_us - self.tokens_refilled_us) * ADMIT_PER_S / S
            )
            self.tokens_refilled_us = self.now_us
            queues = {}
            for name in sorted(new):
                queues.setdefault((rows[name].kind, rows[name].zone), []).append(name)
            count = len(self.listed) + len(self.admitted)
            while queues and self.admission_tokens >= 1 and count < self.limits.max_servers:
                for group in sorted(queues):
                    if self.admission_tokens < 1 or count >= self.limits.max_servers:
                        break
                    self.admitted.add(queues[group].pop(0))
                    self.admission_tokens -= 1
                    count += 1
                    if not queues[group]:
                        del queues[group]
            waiting = [n for n in new if n not in self.admitted]
            self.counts["held back"] += len(waiting)
            for name in waiting:
                del rows[name]
        else:
            self.tokens_refilled_us = self.now_us
        return rows

    def update(self, now_us=None, first=False):
        """Merges anew. -> the event with the changes since the last one, or None."""
        self.now_us = self.now_us if now_us is None else max(self.now_us, now_us)
        before = {name: row.started_us for name, row in self.published.items()}
        now = self.merge()
        changed_drains = False
        for name in list(self.reported_drains):  # a report ends with a later start or when no source names the server
            if name not in now or now[name].started_us > before.get(name, now[name].started_us):
                self.reported_drains.discard(name)
                changed_drains = True
        if self.published or first:
            kept = {n for n in self.operator_drains if n in now}
            changed_drains, self.operator_drains = changed_drains or kept != self.operator_drains, kept
        if changed_drains:
            now = self.merge()
        if now == self.published and not first:
            return None
        whole = first or now.keys() != self.published.keys()
        changed = list(now.values()) if whole else [row for name, row in now.items() if row != self.published[name]]
        self.published = now
        return ("servers", "restored" if first else "replace" if whole else "update", changed)

    # ---- diagnosis

    def reason_of(self, name):
        """-> why a server is in a state other than simply ready, or None."""
        return self.reasons.get(name)

    def explain(self):
        """-> {server: {source: statement}}: what each source says."""
        out = {}
        for name, row in self.listed.items():
            out.setdefault(name, {})["list"] = row.mode
        for source, state in self.sources.items():
            for name, row in state.rows.items():
                out.setdefault(name, {})[source] = row.mode
            for name, (since_us, _) in state.lost.items():
                out.setdefault(name, {})[source] = f"not named for {(self.now_us - since_us) // S} s"
        for name in self.reported_drains:
            out.setdefault(name, {})["box"] = "draining"
        for name in self.operator_drains:
            out.setdefault(name, {})["operator"] = "draining"
        return out

    def suspected_sources(self):
        """-> the names of the sources that are suspected now."""
        return [name for name, source in self.sources.items() if source.suspected_since_us is not None]

    def servers_reporting_drain(self):
        """-> the servers to be asked whether they still drain."""
        return sorted(self.reported_drains)
