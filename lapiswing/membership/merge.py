"""Which boxes there are, and which of them get something new: all sources' words, merged. No I/O, no clock.

Sources: the list (settings and boxes file), records (SRV, DNS-SD; any number, named), each box's own word that it drains, and an
operator's. Who wins:

    drain              from any source. A box's own word ends when it says otherwise, when the list or its record names it with a later
                       start, or when nobody names it any more; an operator's when the operator takes it back, or as before.
    gone               the list's word GONE wins over records that still name the box.
    kind, zone, cell, size   the list's, else those of the first source by name. A record that changes a box's kind without a later
                       start is not believed: a box does not change its role while it runs.
    start              the latest that any source tells: taking a cold box for a warm one would push it over.

A box that records no longer name gets nothing new at once (draining) and is gone after `gone_us`. Records that lose more than a half of
their boxes (3 or more) within `doubt_us` are doubted for that long: a lying record must not empty the pool. Boxes that a doubted source
names as draining drain all the same. One that comes and goes more than `FLAPS` times in `flap_us` is held back for that long. New boxes of
records are admitted `ADMIT` at once and some more each look, turn by turn by kind and zone, so that a flood does not bring one kind alone.

Times are the caller's microseconds. Each box's state has its reason, see `explain`."""

from typing import NamedTuple

MS = 1000
S = 1_000_000
FLAPS = 3
ADMIT, ADMIT_S = 40, 40  # new boxes of records at once, and a second
MOST = 2000  # boxes of all sources


class Limits(NamedTuple):
    gone_us: int = 10 * S
    doubt_us: int = 30 * S
    flap_us: int = 60 * S
    most: int = MOST


class Source:
    """One source of records."""

    def __init__(self):
        self.rows = {}  # what it names now
        self.lost = {}  # what it named until just now -> when that ended
        self.doubt_us = None  # doubted since
        self.whole = 0  # how many it named before the doubt
        self.kinds = {}  # box -> (kind, start) first told


class Membership:
    def __init__(self, limits=Limits()):
        self.limits = limits
        self.listed, self.reported_drains, self.operator_drains, self.published = {}, set(), set(), {}
        self.sources, self.admitted, self.room, self.room_us = {}, set(), float(ADMIT), 0
        self.flaps, self.held, self.reasons, self.now_us = {}, {}, {}, 0
        self.counts = {"vanished": 0, "doubted": 0, "held back": 0, "flaps": 0, "kinds not believed": 0}

    # ---- words

    def update_list(self, rows, now_us=None):
        """The whole list. -> what the decisions are to be told: an event, or None where nothing changes."""
        rows = {row.id: row for row in rows}
        self.listed = rows
        return self.news(now_us, first=not self.published)

    def update_records(self, source, rows, now_us):
        """All that a source of records names now, as rows (mode ready or draining). -> event or None."""
        first = source not in self.sources
        src = self.sources.setdefault(source, Source())
        new = {row.id: row for row in rows}
        for name, row in list(new.items()):
            kind, start = src.kinds.get(name, (row.kind, row.started_us))
            if row.kind != kind and row.started_us <= start:
                self.counts["kinds not believed"] += 1
                new[name] = row._replace(kind=kind)
            else:
                src.kinds[name] = row.kind, max(start, row.started_us)
        gone = [n for n in src.rows if n not in new]
        for name in gone:
            src.lost[name] = now_us, src.rows[name]
            self.counts["vanished"] += 1
        for name in new:
            if name in src.lost:
                self.flapped(name, now_us)
                del src.lost[name]
        if not first:
            lately = [n for n, (at, _) in src.lost.items() if now_us - at < self.limits.doubt_us]
            whole = len(new) + len(lately)
            if src.doubt_us is None and len(lately) >= 3 and len(lately) * 2 > whole:
                src.doubt_us, src.whole = now_us, whole
                self.counts["doubted"] += 1
            elif src.doubt_us is not None and len(new) * 2 >= src.whole:
                src.doubt_us = None  # they are back
        src.rows = new
        return self.news(now_us)

    def flapped(self, name, now_us):
        times = [t for t in self.flaps.get(name, ()) if now_us - t < self.limits.flap_us] + [now_us]
        self.flaps[name] = times
        if len(times) > FLAPS:
            self.counts["flaps"] += 1
            self.held[name] = now_us + self.limits.flap_us

    def set_reported_draining(self, name, draining, now_us=None):
        """A box's own word. -> event or None."""
        if name not in self.published or draining == (name in self.reported_drains):
            return None
        (self.reported_drains.add if draining else self.reported_drains.discard)(name)
        return self.news(now_us)

    def set_operator_draining(self, name, draining, now_us=None):
        """An operator's word. -> event or None. Raises KeyError: no such box."""
        if name not in self.published:
            raise KeyError(name)
        (self.operator_drains.add if draining else self.operator_drains.discard)(name)
        return self.news(now_us)

    def tick(self, now_us):
        """Time has passed: what vanished is gone, doubts end, more is admitted. -> event or None."""
        return self.news(now_us)

    # ---- the decision

    def merged(self):
        """-> {box: row}, with the reasons beside."""
        now, limits, reasons = self.now_us, self.limits, {}
        words = {}  # box -> [(source, row, mode, reason)]
        for name, row in self.listed.items():
            words.setdefault(name, []).append(("list", row, row.mode, None))
        for source in sorted(self.sources):
            src = self.sources[source]
            doubted = src.doubt_us is not None and now < src.doubt_us + limits.doubt_us
            for name, row in src.rows.items():
                words.setdefault(name, []).append((source, row, row.mode, None))
            for name, (at, row) in list(src.lost.items()):
                if doubted:
                    words.setdefault(name, []).append((source, row, row.mode, f"{source} no longer names it, and is doubted"))
                elif now < at + limits.gone_us:
                    words.setdefault(name, []).append((source, row, "draining", f"{source} no longer names it"))
                else:
                    del src.lost[name]
            if src.doubt_us is not None and not doubted:
                src.doubt_us = None
        out = {}
        for name, said in words.items():
            # The list goes first, then sources by name, those that still name it before those that do not.
            said.sort(key=lambda w: (w[0] != "list", w[3] is not None, w[0]))
            row = said[0][1]._replace(started_us=max(w[1].started_us for w in said))
            naming = [w for w in said if w[3] is None]
            draining = [w for w in naming if w[2] == "draining"] or (
                [w for w in said if w[2] == "draining"] if not naming else []
            )
            if said[0][0] == "list" and said[0][2] == "gone":
                mode, why = "gone", "list"
            elif name in self.operator_drains:
                mode, why = "draining", "operator"
            elif name in self.reported_drains:
                mode, why = "draining", "box"
            elif draining:
                mode, why = "draining", draining[0][3] or draining[0][0]
            elif now < self.held.get(name, 0) and said[0][0] != "list":
                mode, why = "draining", "it comes and goes"
            else:
                mode, why = "ready", said[0][3]
            out[name], reasons[name] = row._replace(mode=mode), why
        self.reasons = reasons
        return self.admit(out)

    def admit(self, rows):
        """What the list names is in; of what records alone name, new boxes a few at a time."""
        self.admitted &= rows.keys()
        fresh = [n for n in rows if n not in self.listed and n not in self.admitted]
        if fresh:
            self.room = min(float(ADMIT), self.room + max(0, self.now_us - self.room_us) * ADMIT_S / S)
            self.room_us = self.now_us
            lines = {}
            for name in sorted(fresh):
                lines.setdefault((rows[name].kind, rows[name].zone), []).append(name)
            count = len(self.listed) + len(self.admitted)
            while lines and self.room >= 1 and count < self.limits.most:
                for at in sorted(lines):
                    if self.room < 1 or count >= self.limits.most:
                        break
                    self.admitted.add(lines[at].pop(0))
                    self.room -= 1
                    count += 1
                    if not lines[at]:
                        del lines[at]
            waiting = [n for n in fresh if n not in self.admitted]
            self.counts["held back"] += len(waiting)
            for name in waiting:
                del rows[name]
        else:
            self.room_us = self.now_us
        return rows

    def news(self, now_us=None, first=False):
        self.now_us = self.now_us if now_us is None else max(self.now_us, now_us)
        before = {name: row.started_us for name, row in self.published.items()}
        now = self.merged()
        again = False
        for name in list(self.reported_drains):  # a box's own word ends with a later start, or when nobody names it
            if name not in now or now[name].started_us > before.get(name, now[name].started_us):
                self.reported_drains.discard(name)
                again = True
        if self.published or first:
            kept = {n for n in self.operator_drains if n in now}
            again, self.operator_drains = again or kept != self.operator_drains, kept
        if again:
            now = self.merged()
        if now == self.published and not first:
            return None
        whole = first or now.keys() != self.published.keys()
        changed = list(now.values()) if whole else [row for name, row in now.items() if row != self.published[name]]
        self.published = now
        return ("servers", "restored" if first else "replace" if whole else "update", changed)

    # ---- for those who look

    def reason_of(self, name):
        """Why a box is not simply ready, or None."""
        return self.reasons.get(name)

    def explain(self):
        """-> {box: {source: word}} of all that any source says."""
        out = {}
        for name, row in self.listed.items():
            out.setdefault(name, {})["list"] = row.mode
        for source, src in self.sources.items():
            for name, row in src.rows.items():
                out.setdefault(name, {})[source] = row.mode
            for name, (at, _) in src.lost.items():
                out.setdefault(name, {})[source] = f"not named for {(self.now_us - at) // S} s"
        for name in self.reported_drains:
            out.setdefault(name, {})["box"] = "draining"
        for name in self.operator_drains:
            out.setdefault(name, {})["operator"] = "draining"
        return out

    def suspected_sources(self):
        return [n for n, s in self.sources.items() if s.doubt_us is not None]

    def servers_reporting_drain(self):
        return sorted(self.reported_drains)
