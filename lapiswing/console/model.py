"""What the console knows, and what keys do to it. No I/O.

`key(name)` changes the view and returns what is to be done on the socket: None, ('quit',), ('act', {...}) or ('req', number)."""

from collections import deque

VIEWS = ("overview", "boxes", "reqs", "holds", "tenants", "timeline")
NEEDS = {
    "overview": "boxes,counts,tenants,sessions,store,records,modes",
    "boxes": "boxes,counts",
    "reqs": "reqs,counts",
    "holds": "reqs,counts",
    "tenants": "tenants,counts",
    "timeline": "modes,counts",
}
SORTS = {
    "boxes": ("box", "mode", "out", "first_us", "bad"),
    "reqs": ("age_ms", "left_ms", "tenant", "stage", "box"),
    "holds": ("held_ms", "box"),
    "tenants": ("taken", "tenant", "pushed back", "open"),
}
HISTORY = 300  # ticks


class Model:
    def __init__(self, where, may_act=False):
        self.where, self.may_act = where, may_act
        self.link, self.since_ms, self.problem = "connecting", None, None
        self.snap, self.snap_at_ms, self.seq, self.life = None, None, None, None
        self.ticks, self.lines, self.missed, self.lives = deque(maxlen=HISTORY), deque(maxlen=500), 0, 0
        self.view, self.at, self.top = "overview", 0, 0
        self.sort = {name: 0 for name in SORTS}
        self.back, self.search, self.paused, self.help = False, "", False, False
        self.prompt = None  # (question, text so far, what then)
        self.message, self.detail = "", None

    # ---- from the socket

    def connected(self, now_ms):
        self.link, self.since_ms, self.problem = "live", now_ms, None

    def lost(self, now_ms, why):
        if self.link == "live" or self.since_ms is None:
            self.since_ms = now_ms
        self.link, self.problem = "lost", why

    def snapshot(self, value, now_ms):
        g = value["gateway"]
        life = g["pid"], g["name"]
        if self.life is not None and life != self.life:
            self.lives += 1
            self.message = f"The gateway was started again ({g['pid']}); counts begin anew."
            self.ticks.clear()
            self.seq = None
        self.life = life
        if not self.paused:
            # Parts that were not asked for this time stay as they were.
            self.snap, self.snap_at_ms = {**(self.snap or {}), **value}, now_ms
        if self.seq is None:
            self.seq = value["seq"]

    def feed(self, line):
        if line["type"] == "lost":
            self.missed += line["to"] - line["from"] + 1
            self.message = f"{line['to'] - line['from'] + 1} changes were missed."
            return
        if self.seq is not None and line["seq"] <= self.seq and self.ticks:
            return
        self.seq = line["seq"]
        if line["type"] == "tick":
            self.ticks.append(line)
        else:
            self.lines.append(line)
            if line["type"] == "action":
                self.message = line["text"]

    def rates(self, name, span=60):
        """A counter's growth per tick."""
        values = [t["counts"].get(name, 0) for t in list(self.ticks)[-span - 1 :]]
        return [max(0, b - a) for a, b in zip(values, values[1:])]

    def rate(self, name, span=10):
        """Per second, over the last ticks."""
        ticks = list(self.ticks)[-span - 1 :]
        if len(ticks) < 2:
            return None
        ms = ticks[-1]["unix_ms"] - ticks[0]["unix_ms"]
        return (ticks[-1]["counts"].get(name, 0) - ticks[0]["counts"].get(name, 0)) * 1000 / max(1, ms)

    # ---- rows of the views

    def listed(self):
        """The present view's rows, searched and sorted."""
        snap = self.snap or {}
        rows = {
            "boxes": snap.get("boxes"),
            "reqs": snap.get("reqs"),
            "tenants": snap.get("tenants"),
            "holds": [r for r in snap.get("reqs") or [] if r.get("held_ms") is not None],
            "timeline": snap.get("modes"),
        }.get(self.view) or []
        if self.search:
            rows = [r for r in rows if any(self.search in str(v).lower() for v in r.values())]
        if self.view in SORTS:
            field = SORTS[self.view][self.sort[self.view] % len(SORTS[self.view])]
            numbers = any(isinstance(r.get(field), (int, float)) for r in rows)
            rows = sorted(rows, key=(lambda r: -(r.get(field) or 0)) if numbers else (lambda r: str(r.get(field))))
        elif self.view == "timeline":
            rows = rows[::-1]
        if self.back:
            rows = rows[::-1]
        return rows

    # ---- keys

    def key(self, key):
        if self.prompt is not None:
            return self.in_prompt(key)
        self.message = ""
        if self.help:
            self.help = False
            return None
        if key in ("q", "Q", "ctrl c"):
            return ("quit",)
        if key in ("?", "h", "f1"):
            self.help = True
        elif key in "123456" and len(key) == 1:
            self.go(VIEWS[int(key) - 1])
        elif key in ("tab", "right"):
            self.go(VIEWS[(VIEWS.index(self.view) + 1) % len(VIEWS)])
        elif key in ("shift tab", "left"):
            self.go(VIEWS[VIEWS.index(self.view) - 1])
        elif key in ("down", "j"):
            self.at += 1
        elif key in ("up", "k"):
            self.at -= 1
        elif key in ("page down", " "):
            self.at += 15
        elif key in ("page up", "b"):
            self.at -= 15
        elif key in ("home", "g"):
            self.at = 0
        elif key in ("end", "G"):
            self.at = 1 << 30
        elif key in ("s", ">"):
            if self.view in SORTS:
                self.sort[self.view] += 1
                self.message = (
                    "Sorted by " + SORTS[self.view][self.sort[self.view] % len(SORTS[self.view])].replace("_", " ") + "."
                )
        elif key == "r":
            self.back = not self.back
        elif key == "p":
            self.paused = not self.paused
        elif key == "/":
            self.prompt = ("Search: ", "", "search")
        elif key == "esc":
            self.search, self.detail = "", None
        elif key == "enter":
            return self.pick()
        else:
            return self.act(key)
        self.clamp()
        return None

    def go(self, view):
        self.view, self.at, self.top, self.detail, self.back = view, 0, 0, None, False

    def clamp(self):
        self.at = max(0, min(self.at, len(self.listed()) - 1))

    def picked_row(self):
        rows = self.listed()
        return rows[min(self.at, len(rows) - 1)] if rows else None

    def pick(self):
        row = self.picked_row()
        if self.view in ("reqs", "holds") and row:
            return ("req", row["req"])
        return None

    def act(self, key):
        if key not in ("d", "t", "c", "u", "a", "D"):
            return None
        if not self.may_act:
            self.message = "This socket may look only; open the console on the control socket to act."
            return None
        row = self.picked_row() or {}
        if key == "D":
            self.prompt = ("Drain the whole gateway? Type yes: ", "", ("drain-gateway", None))
        elif key == "a":
            found = [f for f in (self.snap or {}).get("findings", ()) if not f["acknowledged"]]
            if found:
                return ("act", {"act": "acknowledge", "what": found[0]["subject"], "kind": found[0]["kind"]})
            self.message = "There is nothing to acknowledge."
        elif self.view == "boxes" and "box" in row:
            if key == "d":
                self.prompt = (f"Drain {row['box']}? Type yes: ", "", ("drain", row["box"]))
            elif key == "t":
                return ("act", {"act": "take-back", "what": row["box"]})
        elif self.view == "tenants" and "tenant" in row:
            if key == "c":
                self.prompt = (f"Cap {row['tenant']} at how many reqs a second, for an hour? ", "", ("cap", row["tenant"]))
            elif key == "u":
                return ("act", {"act": "uncap", "what": row["tenant"]})
        else:
            self.message = "Go to the boxes (2) or tenants (5) first."
        return None

    def in_prompt(self, key):
        question, text, then = self.prompt
        if key in ("esc", "ctrl c"):
            self.prompt = None
        elif key == "backspace":
            self.prompt = (question, text[:-1], then)
        elif key == "enter":
            self.prompt = None
            if then == "search":
                self.search, self.at = text.lower(), 0
            elif then[0] == "cap":
                try:
                    return ("act", {"act": "cap", "what": then[1], "rps": float(text)})
                except ValueError:
                    self.message = f"{text!r} is no number; nothing was done."
            elif text.strip().lower() == "yes":
                return ("act", {"act": then[0], "what": then[1]})
            else:
                self.message = "Nothing was done."
        elif len(key) == 1 and key.isprintable():
            self.prompt = (question, (text + key)[:80], then)
        return None
